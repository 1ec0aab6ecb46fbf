package org.arbutusfield.observe;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts of one objective over the last six hours, in slots of one minute.
 *
 * <p>Time is given by the caller and must not go back. Not thread-safe; its owner calls it under a lock.
 */
final class BurnCounter {
    private static final int SLOT_SECONDS = 60;
    private static final int SLOTS = BurnWindow.SIX_HOURS.seconds() / SLOT_SECONDS + 1;

    private final long[] slotNumbers = new long[SLOTS];
    private final long[] good = new long[SLOTS];
    private final Map<Badness, long[]> bad = new EnumMap<>(Badness.class);
    private long firstBadSeconds = -1;
    private long lastBadSeconds = -1;

    private BurnCounter() {
        for (Badness reason : Badness.values()) {
            bad.put(reason, new long[SLOTS]);
        }
    }

    /** No counts yet. */
    static BurnCounter create() {
        return new BurnCounter();
    }

    /** Counts a good request. */
    void good(long nowSeconds) {
        good[slot(nowSeconds)]++;
    }

    /** Counts a bad request; a stretch of bad ones ends after five minutes without one. */
    void bad(Badness reason, long nowSeconds) {
        bad.get(reason)[slot(nowSeconds)]++;
        boolean fresh = lastBadSeconds < 0 || nowSeconds - lastBadSeconds > BurnWindow.FIVE_MINUTES.seconds();
        firstBadSeconds = fresh ? nowSeconds : firstBadSeconds;
        lastBadSeconds = nowSeconds;
    }

    /** The counts of a window that ends now. */
    BurnCounts counts(BurnWindow window, long nowSeconds) {
        long latest = nowSeconds / SLOT_SECONDS;
        long oldest = latest - window.seconds() / SLOT_SECONDS + 1;
        long goodSum = 0;
        Map<Badness, Long> badSums = new EnumMap<>(Badness.class);
        for (int slot = 0; slot < SLOTS; slot++) {
            if (slotNumbers[slot] < oldest || slotNumbers[slot] > latest) {
                continue;
            }
            goodSum += good[slot];
            for (Map.Entry<Badness, long[]> entry : bad.entrySet()) {
                badSums.merge(entry.getKey(), entry.getValue()[slot], Long::sum);
            }
        }
        badSums.values().removeIf(count -> count == 0);
        return new BurnCounts(goodSum, badSums);
    }

    /** Seconds since the present stretch of bad requests began; -1 when there is none. */
    long burningForSeconds(long nowSeconds) {
        boolean over = lastBadSeconds < 0 || nowSeconds - lastBadSeconds > BurnWindow.FIVE_MINUTES.seconds();
        return over ? -1 : nowSeconds - firstBadSeconds;
    }

    private int slot(long nowSeconds) {
        long number = nowSeconds / SLOT_SECONDS;
        int slot = (int) (number % SLOTS);
        if (slotNumbers[slot] != number) {
            slotNumbers[slot] = number;
            good[slot] = 0;
            bad.values().forEach(counts -> counts[slot] = 0);
        }
        return slot;
    }
}
