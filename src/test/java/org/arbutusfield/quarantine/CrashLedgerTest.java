package org.arbutusfield.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.proxy.CrashGuard;
import org.arbutusfield.state.SuspectRequest;
import org.arbutusfield.state.UpstreamStart;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {
    private static final String CONTENT = "0123";
    private static final String OF_CALLER = "4567" + CrashGuard.OF_CALLER;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CrashLedger ledger = CrashLedger.create();

    private static UpstreamStart start(int number) {
        return new UpstreamStart("u-" + number, 1);
    }

    /** Records a run that ends its upstream; returns how many count. */
    private int record(String fingerprint, int upstream, long sentNanos, long endedNanos) {
        return ledger.record(fingerprint, new CrashedRun(start(upstream), sentNanos, endedNanos), endedNanos)
                .size();
    }

    /** Guards against a request that is never refused because it came many times at once in the beginning. */
    @Test
    void manyEndsAtOnceDoNotHideLaterOnes() {
        for (int i = 0; i < 40; i++) {
            assertThat(record(CONTENT, i, 0, SECOND + i)).isEqualTo(1);
        }
        assertThat(record(CONTENT, 100, 2 * SECOND, 3 * SECOND)).isEqualTo(2);
        ledger.answersReportedSince(CONTENT, 3 * SECOND);
        assertThat(record(CONTENT, 101, 4 * SECOND, 5 * SECOND)).isEqualTo(3);
    }

    /** Guards against a request that goes on from other callers once it is refused to one of them. */
    @Test
    void refusalToOneCallerDoesNotExplainTheEndsOfTheSameContent() {
        record(CONTENT, 1, 0, SECOND);
        ledger.adopt(new SuspectRequest(OF_CALLER, List.of(start(1), start(2), start(3))), 2 * SECOND);
        assertThat(record(CONTENT, 4, 3 * SECOND, 4 * SECOND)).isEqualTo(2);
    }

    /** Ends that a request in quarantine explains count against no other. */
    @Test
    void refusalOfAContentExplainsItsEnds() {
        record("89ab", 1, 0, SECOND);
        ledger.adopt(new SuspectRequest(CONTENT, List.of(start(1), start(2), start(3))), 2 * SECOND);
        assertThat(record("89ab", 2, 3 * SECOND, 4 * SECOND)).isZero();
        assertThat(record("89ab", 4, 5 * SECOND, 6 * SECOND)).isEqualTo(1);
    }
}
