package org.arbutusfield.observe;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts good and bad requests of one objective over the last six hours, in slots of one minute.
 *
 * <p>The time is passed to each method and must not go back. Not thread-safe; the owner must hold a lock.
 */
final class BurnCounter {
    private static final int SLOT_SECONDS = 60;
    private static final int SLOTS = BurnWindow.SIX_HOURS.seconds() / SLOT_SECONDS + 1;

    private final long[] slotNumbers = new long[SLOTS];
    private final long[] good = new long[SLOTS];
    private final Map<BurnReason, long[]> bad = new EnumMap<>(BurnReason.class);
    private long firstBadSeconds = -1;
    private long lastBadSeconds = -1;

    private BurnCounter() {
        for (BurnReason reason : BurnReason.values()) {
            bad.put(reason, new long[SLOTS]);
        }
    }

    /** Creates a counter without requests. */
    static BurnCounter create() {
        return new BurnCounter();
    }

    /** Counts a good request. */
    void good(long nowSeconds) {
        good[slotIndex(nowSeconds)]++;
    }

    /** Counts a bad request; a period of bad requests ends after five minutes without one. */
    void bad(BurnReason reason, long nowSeconds) {
        bad.get(reason)[slotIndex(nowSeconds)]++;
        boolean newPeriod = lastBadSeconds < 0 || nowSeconds - lastBadSeconds > BurnWindow.FIVE_MINUTES.seconds();
        firstBadSeconds = newPeriod ? nowSeconds : firstBadSeconds;
        lastBadSeconds = nowSeconds;
    }

    /** Returns the counts of the window that ends now. */
    BurnCounts counts(BurnWindow window, long nowSeconds) {
        long latest = nowSeconds / SLOT_SECONDS;
        long oldest = latest - window.seconds() / SLOT_SECONDS + 1;
        long goodSum = 0;
        Map<BurnReason, Long> badSums = new EnumMap<>(BurnReason.class);
        for (int slot = 0; slot < SLOTS; slot++) {
            if (slotNumbers[slot] < oldest || slotNumbers[slot] > latest) {
                continue;
            }
            goodSum += good[slot];
            for (Map.Entry<BurnReason, long[]> entry : bad.entrySet()) {
                badSums.merge(entry.getKey(), entry.getValue()[slot], Long::sum);
            }
        }
        badSums.values().removeIf(count -> count == 0);
        return new BurnCounts(goodSum, badSums);
    }

    /** Seconds since the current period of bad requests began; -1 if there is none. */
    long burningForSeconds(long nowSeconds) {
        boolean ended = lastBadSeconds < 0 || nowSeconds - lastBadSeconds > BurnWindow.FIVE_MINUTES.seconds();
        return ended ? -1 : nowSeconds - firstBadSeconds;
    }

    private int slotIndex(long nowSeconds) {
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
