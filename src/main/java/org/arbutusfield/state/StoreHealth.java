package org.arbutusfield.state;

/**
 * Whether the store answers this host, as seen by calls that are made often. A watch that waits for long does not show
 * an outage by itself.
 *
 * <p>Runs on one event loop, but for {@link #onRecovery}.
 */
public final class StoreHealth {
    private volatile Runnable recoveryListener = () -> {};
    private volatile boolean unavailable;

    private StoreHealth() {}

    /** A store that is taken to answer. */
    public static StoreHealth create() {
        return new StoreHealth();
    }

    /** Calls the subscriber each time when the store answers again. */
    void onRecovery(Runnable listener) {
        recoveryListener = listener;
    }

    /** Notes that a call got no usable answer. */
    public void recordFailure() {
        unavailable = true;
    }

    /** Notes that a call was answered. */
    public void recordAnswer() {
        if (unavailable) {
            unavailable = false;
            recoveryListener.run();
        }
    }

    /** True while the last call failed. */
    boolean unavailable() {
        return unavailable;
    }
}
