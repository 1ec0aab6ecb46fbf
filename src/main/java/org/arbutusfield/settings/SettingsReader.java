package org.arbutusfield.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** Reads and validates a settings file; reports all failures together. */
public final class SettingsReader {
    private static final int BYTES_PER_KIBIBYTE = 1024;
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final Map<Setting, JsonNode> values = new EnumMap<>(Setting.class);
    private final List<Failure> failures = new ArrayList<>();

    private SettingsReader() {}

    /** Reads a settings file; on the left all failures, each with the JSON pointer of the setting. */
    public static Either<List<Failure>, HostSettings> read(Path file) {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_UNREADABLE, file.toString(), e.toString())));
        }
    }

    /** Parses the content of a settings file; on the left all failures, each with the JSON pointer of the setting. */
    public static Either<List<Failure>, HostSettings> parse(byte[] content) {
        try {
            JsonNode root = JSON.readTree(content);
            if (root == null || !root.isObject()) {
                return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_MALFORMED, "", "not a JSON object")));
            }
            return new SettingsReader().check(root);
        } catch (IOException e) {
            String reason = e.getMessage().lines().findFirst().orElse("");
            return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_MALFORMED, "", reason)));
        }
    }

    private Either<List<Failure>, HostSettings> check(JsonNode root) {
        root.fieldNames().forEachRemaining(field -> {
            if (Setting.ofField(field).isEmpty()) {
                addFailure(field, "unknown setting");
            }
        });
        for (Setting setting : Setting.values()) {
            readSetting(setting, root.get(setting.field()));
        }
        return failures.isEmpty() ? Either.right(settings()) : Either.left(List.copyOf(failures));
    }

    private void readSetting(Setting setting, JsonNode given) {
        if (given == null && setting.required()) {
            addFailure(setting.field(), "missing; expected " + setting.acceptedValues());
            return;
        }
        JsonNode value = given == null ? defaultOf(setting) : given;
        if (given != null && !setting.accepts(given)) {
            addFailure(setting.field(), "expected " + setting.acceptedValues());
            return;
        }
        values.put(setting, value);
    }

    private void addFailure(String field, String detail) {
        failures.add(Failure.of(ErrorCode.SETTING_INVALID, "/" + field, detail));
    }

    private HostSettings settings() {
        return new HostSettings(
                text(Setting.NAME),
                text(Setting.REGION),
                text(Setting.FAILURE_DOMAIN),
                address(Setting.ADDRESS, Setting.CALLER_PORT),
                address(Setting.ADDRESS, Setting.CONTROL_PORT),
                address(Setting.ADMIN_ADDRESS, Setting.ADMIN_PORT),
                Optional.of(text(Setting.OPERATOR_TOKEN_FILE))
                        .filter(path -> !path.isEmpty())
                        .map(Path::of),
                address(Setting.STORE_ADDRESS, Setting.STORE_PORT),
                Duration.ofMillis(number(Setting.STORE_TIMEOUT_MILLIS)),
                seeds(),
                Duration.ofSeconds(number(Setting.LOOKUP_MAX_AGE_SECONDS)),
                (int) number(Setting.EVENT_LOOPS),
                (int) number(Setting.MAX_CALLER_CONNECTIONS),
                number(Setting.MAX_BUFFERED_KIBIBYTES) * BYTES_PER_KIBIBYTE,
                Duration.ofSeconds(number(Setting.DRAIN_LIMIT_SECONDS)));
    }

    private List<InetSocketAddress> seeds() {
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (JsonNode seed : values.get(Setting.SEEDS)) {
            int colon = seed.asText().lastIndexOf(':');
            int port = Integer.parseInt(seed.asText().substring(colon + 1));
            seeds.add(new InetSocketAddress(seed.asText().substring(0, colon), port));
        }
        return seeds;
    }

    private InetSocketAddress address(Setting host, Setting port) {
        return new InetSocketAddress(text(host), (int) number(port));
    }

    private String text(Setting setting) {
        return values.get(setting).asText();
    }

    private long number(Setting setting) {
        return values.get(setting).asLong();
    }

    private static JsonNode defaultOf(Setting setting) {
        try {
            return JSON.readTree(setting.defaultJson());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the default of " + setting + " is not JSON", e);
        }
    }
}
