package org.arbutusfield.daemon;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The settings of one entry host.
 *
 * @param name unique host name
 * @param region region it stands in
 * @param failureDomain failure domain it stands in
 * @param address IP address to listen on
 * @param callerPort port for callers
 * @param controlPort port for other hosts
 * @param adminAddress IP address of the admin port
 * @param adminPort port for operators and the platform
 * @param storeAddress IP address of the store
 * @param storePort port of the store
 * @param storeTimeoutMillis limit for one store call, in milliseconds
 * @param lookupMaxAgeSeconds how long callers may cache a look-up answer, in seconds
 * @param seeds other entry hosts to contact first
 */
public record DaemonSettings(
        String name,
        String region,
        String failureDomain,
        String address,
        int callerPort,
        int controlPort,
        String adminAddress,
        int adminPort,
        String storeAddress,
        int storePort,
        long storeTimeoutMillis,
        int lookupMaxAgeSeconds,
        List<Seed> seeds) {

    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    /**
     * Another entry host.
     *
     * @param address its IP address
     * @param controlPort its control port
     */
    public record Seed(String address, int controlPort) {}

    /** Copies the list so that the settings stay immutable. */
    public DaemonSettings {
        seeds = List.copyOf(seeds);
    }

    /** Reads settings from a JSON file, or tells why not. */
    public static Either<List<Failure>, DaemonSettings> read(Path file) {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorCode.SETTINGS_UNREADABLE, file.toString(), e.toString())));
        }
        try {
            return Either.right(JSON.readValue(content, DaemonSettings.class));
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(
                    ErrorCode.SETTINGS_MALFORMED,
                    file.toString(),
                    e.getMessage().lines().findFirst().orElse(""))));
        }
    }
}
