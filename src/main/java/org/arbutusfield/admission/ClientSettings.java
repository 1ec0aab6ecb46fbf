package org.arbutusfield.admission;

import java.time.Duration;

/**
 * Tuning of a host's side. All times are in nanoseconds.
 *
 * @param brokerTimeoutNanos time without any message of the broker after which it counts as unreachable; the broker
 *     sends a heartbeat at least four times as often
 * @param reportIntervalNanos time between two reports of the slots held
 * @param fallback tuning of the queue for the base share
 */
public record ClientSettings(long brokerTimeoutNanos, long reportIntervalNanos, BrokerSettings fallback) {
    private static final long BROKER_TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /** The settings of a production host. */
    public static ClientSettings defaults() {
        return new ClientSettings(BROKER_TIMEOUT_NANOS, REPORT_INTERVAL_NANOS, BrokerSettings.defaults());
    }
}
