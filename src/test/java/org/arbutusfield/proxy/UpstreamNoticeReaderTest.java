package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.model.Upstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Notices in responses, with values that upstreams should not send. */
class UpstreamNoticeReaderTest {
    private static final HeaderNames NAMES = new HeaderNames(
            "deadline",
            "not-run",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.of("leaving"),
            Optional.of("limit"),
            Optional.empty(),
            Optional.of("load"),
            false);
    private static final UpstreamNotice NO_LIMIT = new UpstreamNotice.NoRateLimit();
    private static final PlacementTarget UPSTREAM =
            new PlacementTarget.UpstreamTarget(new Upstream("u", "s", "d", "127.0.0.1", 1, 3, 10), Permit.NONE);

    private static HttpResponse response(int status, String header, String value) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        if (value != null) {
            response.headers().set(header, value);
        }
        return response;
    }

    /** The pause in milliseconds; 0 for none. */
    @ParameterizedTest
    @CsvSource({
        "503, 2,        2000",
        "503, 0.25,     250",
        "503, 0.0001,   1",
        "503, 0,        0",
        "503, 0.0,      0",
        "503, -1,       1000",
        "503, 1e3,      600000",
        "503, soon,     1000",
        "503, '',       1000",
        "503, .5,       500",
        "503, 'Wed, 21 Oct 2026 07:28:00 GMT', 0",
        "503, 'Wed, 21 Oct 2126 07:28:00 GMT', 600000",
        "503, 0.30000000000000004, 301",
        "503, 86400,    600000",
        "503, 999999999999, 600000",
        "503, ,         0",
        "429, 2,        0",
        "200, 2,        0",
    })
    void pauseIsReadFromARefusal(int status, String value, long millis) {
        List<UpstreamNotice> notices =
                UpstreamNoticeReader.read(response(status, "Retry-After", value), UPSTREAM, true, NAMES);
        List<UpstreamNotice> expected = millis == 0
                ? List.of(NO_LIMIT)
                : List.of(NO_LIMIT, new UpstreamNotice.Pause(Duration.ofMillis(millis)));
        assertThat(notices).isEqualTo(expected);
    }

    /** A 421 comes from another upstream at the address, whose notices must not be taken for the target's. */
    @ParameterizedTest
    @CsvSource({
        "200, 1, true",
        "500, 1, true",
        "503, 1, true",
        "421, 1, false",
        "200, 0, false",
        "200, yes, false",
        "200, , false"
    })
    void leavingIsReadFromAnyResponse(int status, String value, boolean leaving) {
        List<UpstreamNotice> notices =
                UpstreamNoticeReader.read(response(status, "Leaving", value), UPSTREAM, true, NAMES);
        assertThat(notices.contains(new UpstreamNotice.Leaving())).isEqualTo(leaving);
    }

    /** The response of another host is not that of an upstream, although it may have the same fields. */
    @Test
    void hostsGiveNoNotices() {
        PlacementTarget host = new PlacementTarget.HostTarget("h", new InetSocketAddress(0), Permit.NONE);
        assertThat(UpstreamNoticeReader.read(response(503, "Retry-After", "2"), host, true, NAMES))
                .isEmpty();
    }

    /** The named rate; empty where the response tells nothing about it, "none" where it ends an earlier limit. */
    @ParameterizedTest
    @CsvSource({
        "200, 1.5,   true,  1.5",
        "503, 12,    true,  12",
        "500, 0,     true,  0",
        "200, ,      true,  none",
        "500, ,      true,  none",
        "200, -1,    true,  0",
        "200, 1e3,   true,  1000",
        "200, NaN,   true,  0",
        "200, '1,5', true,  0",
        "200, '',    true,  0",
        "200, 99999999999, true, 99999999999",
        "421, 1.5,   true,  ''",
        "421, ,      true,  ''",
        "200, 1.5,   false, ''",
        "200, ,      false, ''",
    })
    void rateLimitIsReadFromAResponseToTheRequest(int status, String value, boolean related, String perSecond) {
        List<UpstreamNotice> expected =
                switch (perSecond) {
                    case "" -> List.of();
                    case "none" -> List.of(NO_LIMIT);
                    default -> List.of(new UpstreamNotice.RateLimit(Double.parseDouble(perSecond)));
                };
        assertThat(UpstreamNoticeReader.read(response(status, "Limit", value), UPSTREAM, related, NAMES))
                .isEqualTo(expected);
    }

    /** Guards against a limit that goes unread because of the form in which its number is printed. */
    @ParameterizedTest
    @CsvSource({
        "2.2800000000000002, 2.28",
        "0.30000000000000004, 0.3",
        "1.9999999999999999999999999999999999999999, 2",
        "00000000000000000001.5, 1.5",
        ".5, 0.5",
        "5., 5",
        "+2, 2",
        "1.5E0, 1.5",
        "25e-1, 2.5",
        "1e-9, 0.000000001",
    })
    void rateLimitIsReadInEachFormOfADecimalNumber(String value, double perSecond) {
        List<UpstreamNotice> notices = UpstreamNoticeReader.read(response(200, "Limit", value), UPSTREAM, true, NAMES);
        assertThat(notices).hasSize(1);
        UpstreamNotice.RateLimit limit = (UpstreamNotice.RateLimit) notices.get(0);
        assertThat(limit.perSecond()).isCloseTo(perSecond, within(1e-9));
    }

    /** Guards against an upstream in need that gets its usual load because what it names can't be read. */
    @ParameterizedTest
    @ValueSource(
            strings = {"-1", "NaN", "Infinity", "1,5", "", "soon", "1.5 per second", "0x10", "1d", "--2", "1e", "."})
    void rateLimitThatCannotBeReadIsTakenForTheLowest(String value) {
        assertThat(UpstreamNoticeReader.read(response(200, "Limit", value), UPSTREAM, true, NAMES))
                .isEqualTo(List.of(new UpstreamNotice.RateLimit(0)));
    }

    /** Guards against a load that is read in part, or taken from the response of another program. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {"6,12,6; 6; 12; 6; -1", "0,0,9,100; 0; 0; 9; 1", " 1 , 2 , 3 , 250 ; 1; 2; 3; 2.5"})
    void statedLoadIsRead(String value, int running, int waiting, int slots, double slowness) {
        OptionalDouble stated = slowness < 0 ? OptionalDouble.empty() : OptionalDouble.of(slowness);
        assertThat(UpstreamNoticeReader.read(response(200, "Load", value), UPSTREAM, true, NAMES))
                .containsExactlyInAnyOrder(NO_LIMIT, new UpstreamNotice.Load(running, waiting, slots, stated));
        assertThat(UpstreamNoticeReader.read(response(200, "Load", value), UPSTREAM, false, NAMES))
                .isEmpty();
    }

    /** Guards against a faulty statement that empties an upstream or floods it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "6",
                "6,1",
                "-1,0,6",
                "6,0,0",
                "6,0,999999",
                "6,0,6,0",
                "6,0,6,-5",
                "6,0,6,NaN",
                "6,0,6,1e9",
                "6,0,6,100,1",
                "6.5,0,6",
                "99999999999,0,6",
                "a,b,c",
                "6;0;6",
                "6,0,6,"
            })
    void loadThatCannotBeReadIsIgnored(String value) {
        assertThat(UpstreamNoticeReader.read(response(200, "Load", value), UPSTREAM, true, NAMES))
                .isEqualTo(List.of(NO_LIMIT));
    }
}
