package org.arbutusfield.admission;

/**
 * Names one grant of one broker; never used twice.
 *
 * @param broker name of the host that runs the broker
 * @param epoch incarnation of the broker
 * @param sequence number of the grant within the epoch
 */
public record SlotToken(String broker, long epoch, long sequence) {}
