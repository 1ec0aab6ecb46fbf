package org.arbutusfield.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The command {@code teams}: queries the teams page of every host and prints a row for each host and team, and one for
 * each team of which the leader has lent shares.
 */
final class TeamsCommand {
    private final HostQuery hosts;
    private final Printer printer;

    private TeamsCommand(HostQuery hosts, Printer printer) {
        this.hosts = hosts;
        this.printer = printer;
    }

    /** Creates a command that queries the metrics addresses of these hosts. */
    static TeamsCommand of(HostQuery hosts, Printer printer) {
        return new TeamsCommand(hosts, printer);
    }

    /** Runs the command; returns {@code UNREACHABLE} if a host doesn't respond, after printing the others. */
    ExitCode run() {
        List<JsonNode> pages = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        for (HostQuery.Response response : hosts.query("/teams")) {
            response.body().ifPresentOrElse(pages::add, () -> silent.add(response.address()));
        }
        printer.print(table(pages, silent), pages);
        return silent.isEmpty() ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static String table(List<JsonNode> pages, List<String> silent) {
        TextTable shares =
                TextTable.of("TEAM", "HOST", "ASKED", "ALLOWED", "REFUSED", "SHARE/S", "BURST", "ENDS IN MS", "LENDER");
        TextTable lent =
                TextTable.of("TEAM", "LEADER", "LIMIT/S", "BURST", "HOSTS", "LENT/S", "RESERVE", "TAKING OVER");
        for (JsonNode page : pages) {
            String host = page.path("host").asText();
            page.path("teams").forEach(row -> addShare(shares, host, row));
            page.path("lent").forEach(row -> addLent(lent, host, row));
        }
        String missing = silent.isEmpty() ? "" : "no answer from " + String.join(", ", silent) + "\n";
        return shares + "\n" + lent + missing;
    }

    private static void addShare(TextTable table, String host, JsonNode row) {
        table.row(
                row.path("team").asText(),
                host,
                row.path("asked").asText(),
                row.path("allowed").asText(),
                reasons(row.path("refused")),
                number(row.path("rate")),
                number(row.path("burst")),
                row.path("remainingMillis").asText(),
                row.path("lender").asText());
    }

    private static void addLent(TextTable table, String host, JsonNode row) {
        table.row(
                row.path("team").asText(),
                host,
                number(row.path("limitRate")),
                number(row.path("limitBurst")),
                row.path("hosts").asText(),
                number(row.path("rate")),
                number(row.path("reserve")),
                row.path("takingOver").asText());
    }

    private static String reasons(JsonNode refused) {
        List<String> reasons = new ArrayList<>();
        refused.properties()
                .forEach(entry ->
                        reasons.add(entry.getKey() + "=" + entry.getValue().asText()));
        return reasons.isEmpty() ? "0" : String.join(" ", reasons);
    }

    private static String number(JsonNode value) {
        return String.format(Locale.ROOT, "%.1f", value.asDouble());
    }
}
