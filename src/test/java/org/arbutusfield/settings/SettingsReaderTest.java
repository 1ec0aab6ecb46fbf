package org.arbutusfield.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    private static final String GOOD = "{'name':'h-1','region':'gulf','failureDomain':'gulf-a','address':'127.0.0.1',"
            + "'callerPort':1,'controlPort':2,'adminPort':3,'storeAddress':'127.0.0.1','storePort':4}";

    private static Either<List<Failure>, HostSettings> parse(String text) {
        return SettingsReader.parse(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsSettingsAndFillsDefaults() {
        HostSettings settings = parse(GOOD).get();
        assertThat(settings.name()).isEqualTo("h-1");
        assertThat(settings.adminAddress().getHostString()).isEqualTo("127.0.0.1");
        assertThat(settings.storeTimeout()).isEqualTo(Duration.ofSeconds(2));
        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.operatorTokenFile()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'callerPort':1 | 'callerPort':0 | /callerPort",
                "'callerPort':1 | 'callerPort':65536 | /callerPort",
                "'callerPort':1 | 'callerPort':'1' | /callerPort",
                "'callerPort':1 | 'callerPort':1.5 | /callerPort",
                "'callerPort':1 | 'callerPort':null | /callerPort",
                "'callerPort':1, | '' | /callerPort",
                "'address':'127.0.0.1' | 'address':'somewhere' | /address",
                "'name':'h-1' | 'name':'H 1' | /name",
                "'storePort':4 | 'storePort':4,'storeTimeoutMillis':9 | /storeTimeoutMillis",
                "'storePort':4 | 'storePort':4,'lookupMaxAgeSeconds':301 | /lookupMaxAgeSeconds",
                "'storePort':4 | 'storePort':4,'seeds':['127.0.0.1'] | /seeds",
                "'storePort':4 | 'storePort':4,'seeds':['127.0.0.1:70000'] | /seeds",
                "'storePort':4 | 'storePort':4,'colour':1 | /colour",
            },
            quoteCharacter = '~')
    void reportsFailureWithItsPath(String part, String replacement, String path) {
        String text = GOOD.replace(part, replacement.equals("''") ? "" : replacement);
        assertThat(parse(text).getLeft())
                .singleElement()
                .satisfies(f -> assertThat(f.code()).isEqualTo(ErrorCode.SETTING_INVALID))
                .satisfies(f -> assertThat(f.subject()).isEqualTo(path));
    }

    @Test
    void reportsAllFailures() {
        assertThat(parse("{'colour':1}").getLeft()).hasSize(10);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{'name':'a','name':'b'}", "{", "[]", "{} {}", "~~"},
            quoteCharacter = '~')
    void refusesWhatIsNotOneJsonObject(String text) {
        assertThat(parse(text).getLeft())
                .singleElement()
                .satisfies(f -> assertThat(f.code()).isEqualTo(ErrorCode.SETTINGS_MALFORMED));
    }
}
