package org.arbutusfield.observe;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Objective;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RequestRecord;
import org.arbutusfield.proxy.RequestRecord.Result;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BurnTest {
    private static final Configuration CONFIGURATION = Configuration.of(
            1,
            "n",
            List.of(new Service(
                    "quotedesk",
                    1,
                    1,
                    0,
                    List.of(new RequestClass("quote", List.of(), "", true, true, 1000)),
                    List.of(new Objective("quote", 500, 0.99, 28)))));

    private final VirtualTimer timer = VirtualTimer.create();
    private final RequestMeter meter =
            RequestMeter.create("h1", 7, "gulf", new SimpleMeterRegistry(), () -> CONFIGURATION, timer);

    private static RequestRecord record(Result result, ErrorCode failure, long millis) {
        return new RequestRecord(
                "r",
                "quotedesk",
                "quote",
                result,
                200,
                Optional.ofNullable(failure),
                true,
                0,
                "s1",
                millis * 1_000_000,
                0,
                0,
                0);
    }

    private BurnCounts counts(BurnWindow window) {
        return meter.burn().rows().get(0).counts(window);
    }

    @ParameterizedTest
    @CsvSource({
        "WHOLE, , 500, ",
        "WHOLE, , 501, LATE",
        "REFUSED, OVERLOADED, 1, REFUSED",
        "REFUSED, UPSTREAM_SHED, 1, SHED",
        "UNKNOWN, UPSTREAM_LOST, 1, UNKNOWN",
        "CUT, , 1, CUT",
    })
    void eachRequestCountsOnceUnderItsReason(Result result, ErrorCode failure, long millis, BurnReason reason) {
        meter.finished(record(result, failure, millis));
        BurnCounts expected = reason == null ? new BurnCounts(1, Map.of()) : new BurnCounts(0, Map.of(reason, 1L));
        assertThat(counts(BurnWindow.FIVE_MINUTES)).isEqualTo(expected);
    }

    @Test
    void callerDisconnectCountsAgainstNoObjective() {
        meter.finished(record(Result.CALLER_GONE, ErrorCode.CALLER_GONE, 1));
        assertThat(counts(BurnWindow.SIX_HOURS).total()).isZero();
    }

    @Test
    void requestsLeaveWindowsAtTheirLength() {
        meter.finished(record(Result.CUT, null, 1));
        timer.advance(Duration.ofMinutes(6));
        meter.finished(record(Result.WHOLE, null, 1));
        assertThat(counts(BurnWindow.FIVE_MINUTES).totalBad()).isZero();
        assertThat(counts(BurnWindow.ONE_HOUR).totalBad()).isEqualTo(1);
        timer.advance(Duration.ofHours(1));
        assertThat(counts(BurnWindow.ONE_HOUR).total()).isZero();
        assertThat(counts(BurnWindow.SIX_HOURS).total()).isEqualTo(2);
        timer.advance(Duration.ofHours(7));
        assertThat(counts(BurnWindow.SIX_HOURS).total()).isZero();
    }

    @Test
    void reportsHowLongBadRequestsContinue() {
        assertThat(meter.burn().rows().get(0).burningForSeconds()).isEqualTo(-1);
        meter.finished(record(Result.CUT, null, 1));
        timer.advance(Duration.ofMinutes(3));
        meter.finished(record(Result.CUT, null, 1));
        timer.advance(Duration.ofMinutes(1));
        assertThat(meter.burn().rows().get(0).burningForSeconds()).isEqualTo(240);
        timer.advance(Duration.ofMinutes(6));
        assertThat(meter.burn().rows().get(0).burningForSeconds()).isEqualTo(-1);
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 0", "100, 0, 0", "99, 1, 1", "50, 50, 50"})
    void burnRateIsBadShareOverAllowedShare(long good, long bad, double expected) {
        BurnCounts counts = new BurnCounts(good, Map.of(BurnReason.LATE, bad));
        assertThat(counts.burnRate(0.99)).isCloseTo(expected, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void mergingCountsEachProcessOnceAndListsSilentHosts() {
        meter.finished(record(Result.WHOLE, null, 1));
        HostBurn first = meter.burn();
        HostBurn restarted = new HostBurn("h1", 8, first.rows());
        BurnReport report = BurnReport.merge(List.of(first, first, restarted), List.of("127.0.0.1:1"));
        assertThat(report.rows()).hasSize(1);
        assertThat(report.rows().get(0).counts(BurnWindow.FIVE_MINUTES).good()).isEqualTo(2);
        assertThat(report.silent()).containsExactly("127.0.0.1:1");
        assertThat(BurnPage.render(report)).contains("quotedesk / gulf / quote", "No answer from 127.0.0.1:1");
    }
}
