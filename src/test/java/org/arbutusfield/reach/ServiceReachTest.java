package org.arbutusfield.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One service with twenty upstreams, whose links fail and return. */
class ServiceReachTest {
    private static final int UPSTREAMS = 20;
    private static final Duration LONG = Duration.ofSeconds(1);

    private final ServiceReach reach = ServiceReach.create();
    private long now;

    @BeforeEach
    void cutOff() {
        for (int i = 0; !reach.failed("u-" + i, UPSTREAMS, now); i++) {
            assertThat(i).isLessThan(UPSTREAMS);
        }
    }

    private void passes(Duration time) {
        now += time.toNanos();
    }

    /** Guards against all of a host's callers moving to links that have only just answered one probe. */
    @Test
    void linksReturnByStepsThatDouble() {
        passes(LONG);
        reach.reached(now);
        assertThat(reach.ownShare()).isEqualTo(0.1);
        reach.reached(now);
        assertThat(reach.ownShare()).as("two answers at once").isEqualTo(0.1);
        for (double share : new double[] {0.2, 0.4, 0.8, 1}) {
            passes(LONG);
            reach.reached(now);
            assertThat(reach.ownShare()).isEqualTo(share);
        }
        assertThat(reach.doubtful()).isFalse();
    }

    /** Guards against links that work for a moment, again and again, and cost callers a try each time. */
    @Test
    void linksThatFailAgainAreLeftForLonger() {
        Duration left = Duration.ZERO;
        for (int i = 0; i < 3; i++) {
            Duration before = left;
            left = timeUntilOwnLinksAreUsed();
            assertThat(left).as("time %s", i).isGreaterThan(before);
            assertThat(reach.failed("u-1", UPSTREAMS, now)).as("cut off again").isTrue();
        }
    }

    /** A failure while the links return takes back a step, not all. */
    @Test
    void oneFailureWhileLinksReturnHalvesTheirShare() {
        passes(LONG);
        reach.reached(now);
        passes(LONG);
        reach.reached(now);
        passes(LONG);
        reach.reached(now);
        assertThat(reach.failed("u-1", UPSTREAMS, now)).isFalse();
        assertThat(reach.ownShare()).isEqualTo(0.2);
    }

    private Duration timeUntilOwnLinksAreUsed() {
        Duration step = Duration.ofMillis(10);
        Duration waited = Duration.ZERO;
        while (reach.cutOff()) {
            passes(step);
            waited = waited.plus(step);
            reach.reached(now);
        }
        return waited;
    }
}
