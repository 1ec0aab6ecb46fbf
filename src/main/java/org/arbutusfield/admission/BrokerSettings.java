package org.arbutusfield.admission;

import java.time.Duration;

/**
 * Tuning of a broker. All times are in nanoseconds.
 *
 * @param order order of service within a priority
 * @param maxQueued most requests that wait at once
 * @param lowerPriorityInterval one grant in this many goes to the lower priority served longest ago
 * @param permits most waiting requests, counted from the front, that may take over a slot of their host
 * @param expirySlackNanos how long after its deadline a request may still occupy its slot
 * @param shedRecoveryNanos time after which one slot lost to a shed is tried again
 * @param reportGraceNanos how long a new broker waits for hosts that do not report
 * @param answerRetentionNanos how long answers are remembered for repeated questions
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
        long answerRetentionNanos,
        long minRetryAfterNanos) {
    /** Permits that a broker gives out when its hosts understand {@link SlotPermit} and it {@link SlotTakeover}. */
    public static final int TAKE_OVER_PERMITS = 8;

    private static final int MAX_QUEUED = 10_000;
    private static final int LOWER_PRIORITY_INTERVAL = 20;
    private static final long EXPIRY_SLACK_NANOS = Duration.ofMillis(50).toNanos();
    private static final long SHED_RECOVERY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long REPORT_GRACE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long ANSWER_RETENTION_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long MIN_RETRY_AFTER_NANOS = Duration.ofMillis(250).toNanos();

    /** The settings of a production broker. */
    public static BrokerSettings defaults() {
        return new BrokerSettings(
                QueueOrder.FIFO,
                MAX_QUEUED,
                LOWER_PRIORITY_INTERVAL,
                TAKE_OVER_PERMITS,
                EXPIRY_SLACK_NANOS,
                SHED_RECOVERY_NANOS,
                REPORT_GRACE_NANOS,
                ANSWER_RETENTION_NANOS,
                MIN_RETRY_AFTER_NANOS);
    }

    /** The same settings with another order of service. */
    public BrokerSettings withOrder(QueueOrder other) {
        return new BrokerSettings(
                other,
                maxQueued,
                lowerPriorityInterval,
                permits,
                expirySlackNanos,
                shedRecoveryNanos,
                reportGraceNanos,
                answerRetentionNanos,
                minRetryAfterNanos);
    }

    /** The same settings with another number of permits; 0 switches take-over off. */
    public BrokerSettings withPermits(int other) {
        return new BrokerSettings(
                order,
                maxQueued,
                lowerPriorityInterval,
                other,
                expirySlackNanos,
                shedRecoveryNanos,
                reportGraceNanos,
                answerRetentionNanos,
                minRetryAfterNanos);
    }
}
