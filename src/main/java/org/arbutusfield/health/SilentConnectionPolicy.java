package org.arbutusfield.health;

/**
 * Distinguishes an unresponsive connection from a failed upstream.
 *
 * <p>A network element between the endpoints may drop the state of an open connection while new connections work.
 * Therefore a connection without progress is closed, and only a new connection decides whether the upstream has failed.
 */
public final class SilentConnectionPolicy {
    private SilentConnectionPolicy() {}

    /** What to do with a connection. */
    public enum Action {
        /** Keep using it. */
        KEEP,
        /** Close it and open a new one. */
        REPLACE
    }

    /**
     * Decides about one connection.
     *
     * @param awaiting whether progress is expected: a request was written and its response is incomplete, or a write is
     *     blocked
     * @param lastProgressNanos when a byte was last transferred in the expected direction
     * @param timeoutNanos maximum time without progress, in nanoseconds
     * @param nowNanos monotonic time
     */
    public static Action evaluate(boolean awaiting, long lastProgressNanos, long timeoutNanos, long nowNanos) {
        return awaiting && nowNanos - lastProgressNanos >= timeoutNanos ? Action.REPLACE : Action.KEEP;
    }

    /**
     * Returns the health signal of a timeout.
     *
     * @param answeredBefore whether the connection had carried a complete response before
     */
    public static HealthSignal timeoutSignal(boolean answeredBefore) {
        return answeredBefore ? HealthSignal.SILENT_CONNECTION : HealthSignal.TIMEOUT;
    }
}
