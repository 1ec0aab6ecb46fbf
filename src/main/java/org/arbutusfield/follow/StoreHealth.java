package org.arbutusfield.follow;

/**
 * Whether the store answers this host, as seen by calls that are made often. A watch that waits for long does not show
 * an outage by itself.
 *
 * <p>Runs on one event loop, but for {@link #subscribe}.
 */
public final class StoreHealth {
    private volatile Runnable regained = () -> {};
    private volatile boolean lost;

    private StoreHealth() {}

    /** A store that is taken to answer. */
    public static StoreHealth create() {
        return new StoreHealth();
    }

    /** Calls the subscriber each time when the store answers again. */
    void subscribe(Runnable subscriber) {
        regained = subscriber;
    }

    /** Notes that a call got no usable answer. */
    public void failed() {
        lost = true;
    }

    /** Notes that a call was answered. */
    public void answered() {
        if (lost) {
            lost = false;
            regained.run();
        }
    }

    /** True while the last call failed. */
    boolean lost() {
        return lost;
    }
}
