package org.arbutusfield.admission;

import java.time.Duration;

/**
 * Configuration of a {@link SlotClient}. All times are in nanoseconds.
 *
 * @param brokerTimeoutNanos time without any message from the broker after which it counts as unreachable; the broker
 *     sends heartbeats at least four times as often
 * @param reportIntervalNanos time between two reports of the slots held
 * @param fallback settings of the host's own queue for its base share
 */
public record ClientSettings(long brokerTimeoutNanos, long reportIntervalNanos, BrokerSettings fallback) {
    private static final long BROKER_TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /** Returns the production settings. */
    public static ClientSettings defaults() {
        return new ClientSettings(BROKER_TIMEOUT_NANOS, REPORT_INTERVAL_NANOS, BrokerSettings.defaults());
    }
}
