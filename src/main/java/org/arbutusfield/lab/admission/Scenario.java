package org.arbutusfield.lab.admission;

import java.time.Duration;
import java.util.Locale;

/**
 * The fault of a run, and the delays of failure detection and load reports. All times are in nanoseconds.
 *
 * @param fault kind of fault
 * @param faultNanos virtual time at which a host fails or pauses
 */
record Scenario(Fault fault, long faultNanos) {
    static final long PAUSE_NANOS = Duration.ofSeconds(3).toNanos();
    static final long FAILURE_DETECTION_NANOS = Duration.ofMillis(300).toNanos();
    private static final long REPORT_LAG_NANOS = Duration.ofMillis(100).toNanos();
    private static final long LONG_REPORT_LAG_NANOS = Duration.ofSeconds(1).toNanos();

    /** Kind of fault in a run. */
    enum Fault {
        NONE,
        DEAD_HOST,
        PAUSED_BROKER,
        LAGGING_1S;

        static Fault of(String name) {
            return valueOf(name.replace('-', '_').toUpperCase(Locale.ROOT));
        }
    }

    long reportLagNanos() {
        return fault == Fault.LAGGING_1S ? LONG_REPORT_LAG_NANOS : REPORT_LAG_NANOS;
    }
}
