package org.arbutusfield.store;

/**
 * A point in the history of a store.
 *
 * <p>A store that returns from an older copy of its content begins a new era: changes that it had acknowledged are
 * gone, and their revision numbers are given to other changes. Numbers are therefore comparable only within one era.
 *
 * @param era number of the era, increasing; {@link #UNKNOWN_ERA} if the store does not state it
 * @param number revision number within the era
 */
public record StoreRevision(long era, long number) {
    /** Era of a response that does not state one. */
    public static final long UNKNOWN_ERA = -1;

    /** The revision before anything was read. */
    public static final StoreRevision NONE = new StoreRevision(UNKNOWN_ERA, 0);

    /** Creates a revision of a known era. */
    public static StoreRevision of(long era, long number) {
        return new StoreRevision(era, number);
    }

    /** Returns true if this revision is from a later era than the other one, as far as both eras are known. */
    public boolean isOfLaterEra(StoreRevision other) {
        return isLaterEra(era, other.era);
    }

    /** Returns true if the era is later than the other one, as far as both are known. */
    public static boolean isLaterEra(long era, long other) {
        return era != UNKNOWN_ERA && other != UNKNOWN_ERA && era > other;
    }

    /** Returns true if a state at this revision includes the change made at the other revision of the same era. */
    public boolean includes(StoreRevision change) {
        boolean sameEra = era == change.era || era == UNKNOWN_ERA || change.era == UNKNOWN_ERA;
        return sameEra && number >= change.number;
    }
}
