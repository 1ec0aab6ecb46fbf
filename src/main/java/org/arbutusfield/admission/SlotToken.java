package org.arbutusfield.admission;

/**
 * Names one use of a granted slot; never used twice.
 *
 * @param broker name of the host that runs the broker
 * @param epoch incarnation of the broker
 * @param sequence number of the grant within the epoch
 * @param use 0 for the request that the slot was granted to, then one more for each request that took it over
 */
public record SlotToken(String broker, long epoch, long sequence, int use) {

    /** The first use of a grant. */
    public static SlotToken of(String broker, long epoch, long sequence) {
        return new SlotToken(broker, epoch, sequence, 0);
    }

    /** The first use of the same grant. */
    public SlotToken first() {
        return use == 0 ? this : new SlotToken(broker, epoch, sequence, 0);
    }

    /** The next use of the same grant. */
    public SlotToken next() {
        return new SlotToken(broker, epoch, sequence, use + 1);
    }
}
