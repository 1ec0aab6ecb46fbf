package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.share.ShareTolerance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Valid and invalid settings files of an edge host. */
class EdgeSettingsReaderTest {
    static final String VALID = """
            {"name": "h", "region": "gulf", "failureDomain": "gulf-a", "callerAddress": "127.0.0.1:1",
             "readyAddress": "127.0.0.1:2", "lookupAddress": "127.0.0.1:3", "controlAddress": "127.0.0.1:4",
             "metricsAddress": "127.0.0.1:5", "storeAddress": "127.0.0.1:6", "regions": {"gulf-a": "gulf"},
             "maxDescriptors": 2870, "processorShare": 0.42, "cores": 1, "lookupMaxAge": "5s", "stopLimit": "6s", "routesInForceWithin": "2000ms",
             "drainsInForceWithin": "1500ms", "retryRatio": 0.2, "retryWindow": "10s", "retrySlack": 112}
            """;

    private static Either<List<Failure>, EdgeSettings> parse(String text) {
        return EdgeSettingsReader.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void validFileIsRead() {
        EdgeSettings settings = parse(VALID).get();
        assertThat(settings.maxPropagationDelay()).isEqualTo(Duration.ofMillis(1500));
        assertThat(settings.regions()).containsEntry("gulf-a", "gulf");
        assertThat(settings.retryBudget().slack()).isEqualTo(112);
    }

    /** The platform derives this bound from the size of a deployment, so that it need not be a whole number. */
    @Test
    void fractionOfTheRetrySlackIsDropped() {
        EdgeSettings settings = parse(VALID.replace("\"retrySlack\": 112", "\"retrySlack\": 33.82"))
                .get();
        assertThat(settings.retryBudget().slack()).isEqualTo(33);
    }

    /** Guards against a host that doesn't start on a deployment without teams, or ignores a wrong tolerance. */
    @Test
    void toleranceBeyondTheLimitsOfTeamsIsOptional() {
        assertThat(parse(VALID).get().teamTolerance()).isEmpty();
        String with = VALID.replace(
                "\"retrySlack\"",
                "\"teamLimitWindow\": \"5s\", \"teamLimitOver\": 0.1, \"teamLimitSlack\": 20, \"retrySlack\"");
        assertThat(parse(with).get().teamTolerance()).hasValue(new ShareTolerance(Duration.ofSeconds(5), 0.1, 20));
        assertThat(parse(with.replace("\"5s\", \"teamLimitOver", "5, \"teamLimitOver"))
                        .getLeft())
                .extracting(Failure::subject)
                .containsExactly("/teamLimitWindow");
    }

    @Test
    void unknownFieldsAreIgnored() {
        assertThat(parse(VALID.replace("{\"name\"", "{\"later\": 1, \"name\"")).isRight())
                .isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "'\"h\"',            '\"\"',        /name",
        "'127.0.0.1:1\"',    'host:1\"',    /callerAddress",
        "'127.0.0.1:6\"',    '127.0.0.1\"', /storeAddress",
        "'\"6s\"',           '6',           /stopLimit",
        "'\"5s\"',           '\"5 s\"',     /lookupMaxAge",
        "'2870',             '-1',          /maxDescriptors",
        "'0.2',              '\"0.2\"',     /retryRatio",
        "'\"retrySlack\"',   '\"slack\"',   /retrySlack",
    })
    void invalidValueIsReportedWithItsPath(String valid, String wrong, String path) {
        List<Failure> failures = parse(VALID.replace(valid, wrong)).getLeft();
        assertThat(failures).extracting(Failure::code).containsOnly(ErrorCode.SETTING_INVALID);
        assertThat(failures).extracting(Failure::subject).containsExactly(path);
    }

    @Test
    void allFailuresAreReportedTogether() {
        int optional = 3;
        assertThat(parse("{}").getLeft()).hasSize(EdgeSetting.values().length - optional);
        assertThat(parse("[").getLeft()).extracting(Failure::code).containsExactly(ErrorCode.SETTINGS_MALFORMED);
    }
}
