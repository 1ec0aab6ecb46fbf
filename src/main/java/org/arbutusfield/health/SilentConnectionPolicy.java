package org.arbutusfield.health;

/**
 * Tells a connection that has gone silent from a server that is dead.
 *
 * <p>Something between the ends may lose track of an open connection while new ones work. So a connection without
 * progress is closed, and the server is judged by a fresh connection only.
 */
public final class SilentConnectionPolicy {
    private SilentConnectionPolicy() {}

    /** What to do with a connection. */
    public enum Action {
        /** Keep using it. */
        KEEP,
        /** Close it and open a fresh one. */
        REPLACE
    }

    /**
     * Looks at one connection.
     *
     * @param awaiting whether bytes are due: a request is written and not answered whole, or a write is stuck
     * @param lastProgressNanos when a byte last moved in the direction that is due
     * @param timeoutNanos longest time without progress, in nanoseconds
     * @param nowNanos monotonic time
     */
    public static Action evaluate(boolean awaiting, long lastProgressNanos, long timeoutNanos, long nowNanos) {
        return awaiting && nowNanos - lastProgressNanos >= timeoutNanos ? Action.REPLACE : Action.KEEP;
    }

    /**
     * The signal of a timeout.
     *
     * @param answeredBefore whether the connection had carried a whole answer before
     */
    public static HealthSignal timeoutSignal(boolean answeredBefore) {
        return answeredBefore ? HealthSignal.SILENT_CONNECTION : HealthSignal.TIMEOUT;
    }
}
