package org.arbutusfield.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.misc.DurationText;
import org.arbutusfield.share.ShareTolerance;
import org.arbutusfield.steering.SharedRetryBudget;

/** Reads and checks an edge host's settings file, and reports all invalid settings together. */
public final class EdgeSettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MIN_HOSTS_PER_DOMAIN = 2;
    private static final int MILLICORES_PER_CORE = 1000;

    private final JsonNode root;

    private EdgeSettingsReader(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads a file. The left side has one failure with its path for each invalid setting. Unknown fields are ignored.
     */
    public static Either<List<Failure>, EdgeSettings> read(Path file) {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_UNREADABLE, file.toString(), e.toString())));
        }
    }

    /** Parses the content of a settings file. The left side has one failure with its path for each invalid setting. */
    public static Either<List<Failure>, EdgeSettings> parse(byte[] content) {
        try {
            JsonNode root = JSON.readTree(content);
            if (root == null || !root.isObject()) {
                return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_MALFORMED, "", "not a JSON object")));
            }
            return new EdgeSettingsReader(root).check();
        } catch (IOException e) {
            String reason = e.getMessage().lines().findFirst().orElse("");
            return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_MALFORMED, "", reason)));
        }
    }

    private Either<List<Failure>, EdgeSettings> check() {
        List<Failure> failures = new ArrayList<>();
        for (EdgeSetting setting : EdgeSetting.values()) {
            JsonNode value = root.get(setting.field());
            if (value == null && !setting.required()) {
                continue;
            }
            if (value == null || !setting.accepts(value)) {
                String found = value == null ? "missing" : "found " + value;
                failures.add(Failure.of(
                        ErrorCode.SETTING_INVALID,
                        "/" + setting.field(),
                        found + "; expected " + setting.expected() + ": " + setting.description()));
            }
        }
        return failures.isEmpty() ? Either.right(settings()) : Either.left(List.copyOf(failures));
    }

    private EdgeSettings settings() {
        Map<String, String> regions = new TreeMap<>();
        root.get(EdgeSetting.REGIONS.field())
                .properties()
                .forEach(entry -> regions.put(entry.getKey(), entry.getValue().asText()));
        SharedRetryBudget retryBudget = new SharedRetryBudget(
                number(EdgeSetting.RETRY_RATIO),
                duration(EdgeSetting.RETRY_WINDOW),
                count(EdgeSetting.RETRY_SLACK),
                MIN_HOSTS_PER_DOMAIN * Math.max(1, regions.size()));
        return new EdgeSettings(
                text(EdgeSetting.NAME),
                text(EdgeSetting.REGION),
                text(EdgeSetting.FAILURE_DOMAIN),
                address(EdgeSetting.CALLER_ADDRESS),
                address(EdgeSetting.READY_ADDRESS),
                address(EdgeSetting.LOOKUP_ADDRESS),
                address(EdgeSetting.CONTROL_ADDRESS),
                address(EdgeSetting.METRICS_ADDRESS),
                address(EdgeSetting.STORE_ADDRESS),
                regions,
                count(EdgeSetting.MAX_DESCRIPTORS),
                (int) (number(EdgeSetting.PROCESSOR_SHARE) * number(EdgeSetting.CORES) * MILLICORES_PER_CORE),
                duration(EdgeSetting.LOOKUP_MAX_AGE),
                duration(EdgeSetting.STOP_LIMIT),
                shorter(duration(EdgeSetting.ROUTES_IN_FORCE_WITHIN), duration(EdgeSetting.DRAINS_IN_FORCE_WITHIN)),
                retryBudget,
                teamTolerance());
    }

    /** Without all three settings nothing beyond the limits of teams may be sent. */
    private Optional<ShareTolerance> teamTolerance() {
        boolean complete = root.has(EdgeSetting.TEAM_LIMIT_WINDOW.field())
                && root.has(EdgeSetting.TEAM_LIMIT_OVER.field())
                && root.has(EdgeSetting.TEAM_LIMIT_SLACK.field());
        return complete
                ? Optional.of(new ShareTolerance(
                        duration(EdgeSetting.TEAM_LIMIT_WINDOW),
                        number(EdgeSetting.TEAM_LIMIT_OVER),
                        number(EdgeSetting.TEAM_LIMIT_SLACK)))
                : Optional.empty();
    }

    private String text(EdgeSetting setting) {
        return root.get(setting.field()).asText();
    }

    private int count(EdgeSetting setting) {
        return root.get(setting.field()).asInt();
    }

    private double number(EdgeSetting setting) {
        return root.get(setting.field()).asDouble();
    }

    private InetSocketAddress address(EdgeSetting setting) {
        return Addresses.parse(text(setting)).orElseThrow();
    }

    private Duration duration(EdgeSetting setting) {
        return DurationText.parse(text(setting)).orElseThrow();
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
