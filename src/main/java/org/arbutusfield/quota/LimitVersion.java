package org.arbutusfield.quota;

/**
 * How much a leader had heard of limits at some time. Versions of different terms can't be compared.
 *
 * @param term random number of the leader's term
 * @param sequence number of responses that had named a limit, in that term
 */
public record LimitVersion(long term, long sequence) {

    /** Returns true if the leader had heard everything up to a number by the time of this version, in the same term. */
    boolean includes(LimitVersion earlier) {
        return term == earlier.term && sequence >= earlier.sequence;
    }
}
