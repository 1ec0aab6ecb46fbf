package org.arbutusfield.shift;

/**
 * Permits lent to one host, each for one request.
 *
 * @param id the question that it answers; a question is answered by at most one grant that counts
 * @param permits how many requests may be moved
 * @param surplus the lender's surplus when it made the grant; a host with a smaller surplus in force discards it
 * @param intervalNanos interval of the cap when the grant was made, in nanoseconds
 * @param lengthNanos how long the grant lives, in nanoseconds, from the moment the host asked for it
 */
public record PermitGrant(Id id, long permits, long surplus, long intervalNanos, long lengthNanos) {

    /**
     * Name of a question and of its grant.
     *
     * @param incarnation the process that asks
     * @param sequence number within the process
     */
    public record Id(long incarnation, long sequence) {}

    /**
     * A grant given back, or a question given up.
     *
     * @param id the grant, whether or not it was ever received
     * @param unused the most permits that were not used and can no longer be
     */
    public record Return(Id id, long unused) {}
}
