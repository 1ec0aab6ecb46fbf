package org.arbutusfield.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.observe.BurnCounts;
import org.arbutusfield.observe.BurnPage;
import org.arbutusfield.observe.BurnReport;
import org.arbutusfield.observe.BurnRow;
import org.arbutusfield.observe.BurnWindow;
import org.arbutusfield.observe.HostBurn;

/**
 * The command {@code report burn}: queries every host, merges the responses, prints the report and optionally writes it
 * as an HTML page.
 */
final class BurnCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HostQuery hosts;
    private final Printer printer;

    private BurnCommand(HostQuery hosts, Printer printer) {
        this.hosts = hosts;
        this.printer = printer;
    }

    /** Creates a command that queries these hosts. */
    static BurnCommand of(HostQuery hosts, Printer printer) {
        return new BurnCommand(hosts, printer);
    }

    /**
     * Runs the command. If a host does not respond, prints the report of the others and returns {@code UNREACHABLE}.
     */
    Either<List<Failure>, ExitCode> run(Optional<String> page) {
        BurnReport report = queryHosts();
        printer.print(table(report), report);
        if (page.isPresent()) {
            try {
                Files.writeString(Path.of(page.get()), BurnPage.render(report));
            } catch (IOException e) {
                return Either.left(List.of(Failure.of(ErrorCode.USAGE, page.get(), e.toString())));
            }
        }
        return Either.right(report.silent().isEmpty() ? ExitCode.DONE : ExitCode.UNREACHABLE);
    }

    private BurnReport queryHosts() {
        List<HostBurn> hostBurns = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        for (HostQuery.Response response : hosts.query("/burn")) {
            Optional<HostBurn> hostBurn = response.body().flatMap(BurnCommand::decode);
            hostBurn.ifPresentOrElse(hostBurns::add, () -> silent.add(response.address()));
        }
        return BurnReport.merge(hostBurns, silent);
    }

    private static Optional<HostBurn> decode(JsonNode body) {
        try {
            return Optional.of(JSON.treeToValue(body, HostBurn.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static String table(BurnReport report) {
        TextTable table = TextTable.of(
                "SERVICE",
                "REGION",
                "CLASS",
                "OBJECTIVE",
                "BURN 5m",
                "BURN 1h",
                "BURN 6h",
                "GOOD 6h",
                "BAD 6h",
                "REASONS 6h",
                "SINCE");
        for (BurnRow row : report.rows()) {
            BurnCounts all = row.counts(BurnWindow.SIX_HOURS);
            table.row(
                    row.key().service(),
                    row.key().region(),
                    row.key().requestClass(),
                    String.format(Locale.ROOT, "%.4g %% in %d ms", row.target() * 100, row.latencyMillis()),
                    burn(row, BurnWindow.FIVE_MINUTES),
                    burn(row, BurnWindow.ONE_HOUR),
                    burn(row, BurnWindow.SIX_HOURS),
                    Long.toString(all.good()),
                    Long.toString(all.totalBad()),
                    BurnPage.reasons(all),
                    row.burningForSeconds() < 0 ? "-" : row.burningForSeconds() + " s");
        }
        String silent = report.silent().isEmpty()
                ? ""
                : "no answer from " + String.join(", ", report.silent()) + "; their requests are missing\n";
        return table + silent;
    }

    private static String burn(BurnRow row, BurnWindow window) {
        return String.format(Locale.ROOT, "%.2f", row.counts(window).burnRate(row.target()));
    }
}
