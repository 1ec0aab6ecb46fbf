package org.arbutusfield.state;

import org.arbutusfield.store.StoreRevision;

/**
 * Whether the store answers this host, judged by frequent calls. A watch with a long wait does not reveal an outage by
 * itself.
 *
 * <p>Runs on one event loop, except for {@link #onRecovery}.
 */
public final class StoreHealth {
    private volatile Runnable recoveryListener = () -> {};
    private volatile Runnable outageListener = () -> {};
    private volatile boolean unavailable;
    private long era = StoreRevision.UNKNOWN_ERA;

    private StoreHealth() {}

    /** Creates an instance that assumes that the store answers. */
    public static StoreHealth create() {
        return new StoreHealth();
    }

    /** Sets the listener that is called each time the store answers again, or from a new era. */
    void onRecovery(Runnable listener) {
        recoveryListener = listener;
    }

    /** Sets the listener that is called each time the store stops to answer. */
    void onOutage(Runnable listener) {
        outageListener = listener;
    }

    /** Records that a call got no usable response. */
    public void recordFailure() {
        if (!unavailable) {
            unavailable = true;
            outageListener.run();
        }
    }

    /** Records that a call was answered. */
    public void recordAnswer() {
        if (unavailable) {
            unavailable = false;
            recoveryListener.run();
        }
    }

    /** Records the era that an answer stated. The listener is called when it is later than the one before. */
    public void recordEra(long answered) {
        boolean later = StoreRevision.isLaterEra(answered, era);
        if (later || era == StoreRevision.UNKNOWN_ERA) {
            era = answered;
        }
        if (later) {
            recoveryListener.run();
        }
    }

    /** Returns true if the last call failed. */
    boolean unavailable() {
        return unavailable;
    }
}
