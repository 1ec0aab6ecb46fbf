package org.arbutusfield.home;

/**
 * Which part of an upstream's requests is admitted, so that those who are admitted are answered in time.
 *
 * <p>Problem: an upstream queues several times its slots. When more comes than it can do, all wait in that queue until
 * all are late, though the upstream could have answered most in time.
 *
 * <p>Idea: control the length of the queue. Answers tell how many requests wait. While more wait than the upstream runs
 * at once, the admitted part shrinks in proportion, then waits a period for the effect; while few wait, it grows by
 * steps.
 *
 * <p>Invariants: the part stays between {@link #LEAST} and 1, and is 1 while the queue is short.
 *
 * <p>Example: 3 slots and 9 waiting. The part shrinks to 0.6 and, after a period, to 0.4; then 2 wait, and it stays;
 * then none wait, and it grows to 0.46, 0.52 and so on up to 1.
 *
 * <p>Not thread-safe; its owner calls it on one thread.
 */
final class Admission {
    /** Smallest part. */
    static final double LEAST = 0.4;

    private static final double FASTEST_CUT = 0.6;
    private static final double GROWTH = 0.06;
    /** Waiting requests per slot above which the part shrinks. */
    private static final double LONG_QUEUE = 0.9;
    /** Waiting requests per slot below which the part grows. */
    private static final double SHORT_QUEUE = 0.35;

    private double part = 1;
    private boolean shrunkBefore;

    /**
     * Takes over the queue that was seen in a period.
     *
     * @param waiting mean number of waiting requests
     * @param slots requests that the upstream runs at once
     */
    void seen(double waiting, int slots) {
        double perSlot = waiting / slots;
        boolean shrink = perSlot > LONG_QUEUE && !shrunkBefore;
        shrunkBefore = shrink;
        if (shrink) {
            part = Math.max(LEAST, part * Math.max(FASTEST_CUT, LONG_QUEUE / perSlot));
        } else if (perSlot < SHORT_QUEUE) {
            part = Math.min(1, part + GROWTH);
        }
    }

    /** The admitted part. */
    double part() {
        return part;
    }
}
