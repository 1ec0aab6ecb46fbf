package org.arbutusfield.admission;

import java.time.Duration;

/**
 * Configuration of a broker. All times are in nanoseconds.
 *
 * @param order order in which requests of one priority are served
 * @param maxQueued maximum number of queued requests
 * @param lowerPriorityInterval one of this many grants goes to the priority that has waited longest for a grant
 * @param permits maximum number of permitted requests, counted from the front of the queue; a permitted request may
 *     take over a slot of its host
 * @param expirySlackNanos how long after its deadline a request may still occupy its slot
 * @param shedRecoveryNanos time after which one slot that was withheld because the upstream shed or failed a request is
 *     used again
 * @param reportGraceNanos maximum time that a new broker waits for hosts that have not reported
 * @param decisionRetentionNanos how long decisions and ended uses of slots are kept, so that messages that arrive again
 *     are recognized
 * @param minRetryAfterNanos shortest Retry-After
 */
public record BrokerSettings(
        QueueOrder order,
        int maxQueued,
        int lowerPriorityInterval,
        int permits,
        long expirySlackNanos,
        long shedRecoveryNanos,
        long reportGraceNanos,
        long decisionRetentionNanos,
        long minRetryAfterNanos) {
    /** Number of permits for a region in which hosts support {@link SlotPermit} and brokers {@link SlotTakeover}. */
    public static final int TAKE_OVER_PERMITS = 8;

    private static final int MAX_QUEUED = 10_000;
    private static final int LOWER_PRIORITY_INTERVAL = 20;
    private static final long EXPIRY_SLACK_NANOS = Duration.ofMillis(50).toNanos();
    private static final long SHED_RECOVERY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long REPORT_GRACE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long DECISION_RETENTION_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long MIN_RETRY_AFTER_NANOS = Duration.ofMillis(250).toNanos();

    /** Returns the production settings. */
    public static BrokerSettings defaults() {
        return new BrokerSettings(
                QueueOrder.FIFO,
                MAX_QUEUED,
                LOWER_PRIORITY_INTERVAL,
                TAKE_OVER_PERMITS,
                EXPIRY_SLACK_NANOS,
                SHED_RECOVERY_NANOS,
                REPORT_GRACE_NANOS,
                DECISION_RETENTION_NANOS,
                MIN_RETRY_AFTER_NANOS);
    }

    /** Returns these settings with another order of service. */
    public BrokerSettings withOrder(QueueOrder other) {
        return new BrokerSettings(
                other,
                maxQueued,
                lowerPriorityInterval,
                permits,
                expirySlackNanos,
                shedRecoveryNanos,
                reportGraceNanos,
                decisionRetentionNanos,
                minRetryAfterNanos);
    }

    /** Returns these settings with another number of permits; 0 disables slot takeover. */
    public BrokerSettings withPermits(int other) {
        return new BrokerSettings(
                order,
                maxQueued,
                lowerPriorityInterval,
                other,
                expirySlackNanos,
                shedRecoveryNanos,
                reportGraceNanos,
                decisionRetentionNanos,
                minRetryAfterNanos);
    }
}
