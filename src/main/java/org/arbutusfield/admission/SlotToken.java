package org.arbutusfield.admission;

/**
 * Identifies one use of a granted slot; unique over all uses.
 *
 * @param broker name of the host that runs the broker
 * @param epoch incarnation of the broker
 * @param sequence number of the use: {@link #USES} times the number of the grant within the epoch, plus 0 for the
 *     request that the slot was granted to and one more for each request that took it over
 */
public record SlotToken(String broker, long epoch, long sequence) {
    /** Maximum number of uses of one grant. */
    public static final int USES = 16;

    /** Returns the token of the first use of a grant. */
    public static SlotToken of(String broker, long epoch, long grant) {
        return new SlotToken(broker, epoch, grant * USES);
    }

    /** Index of this use within its grant, from 0. */
    public int use() {
        return (int) Math.floorMod(sequence, (long) USES);
    }

    /** Returns the token of the first use of the same grant. */
    public SlotToken first() {
        return use() == 0 ? this : new SlotToken(broker, epoch, sequence - use());
    }

    /** Returns the token of the next use of the same grant; {@link #use()} must be below {@code USES - 1}. */
    public SlotToken next() {
        return new SlotToken(broker, epoch, sequence + 1);
    }
}
