package org.arbutusfield.shift;

/**
 * Permits lent to one host, each for one request.
 *
 * @param id identifies the permit request; at most one grant per request counts
 * @param permits how many requests may be moved
 * @param surplus the lender's surplus when it made the grant; a host with a smaller surplus in force discards it
 * @param intervalNanos interval of the cap when the grant was made, in nanoseconds
 * @param lengthNanos how long the grant is valid, in nanoseconds, from the moment the host requested it
 */
public record PermitGrant(Id id, long permits, long surplus, long intervalNanos, long lengthNanos) {

    /**
     * Identifies a permit request and its grant.
     *
     * @param incarnation the requesting process
     * @param sequence number within the process
     */
    public record Id(long incarnation, long sequence) {}

    /**
     * The return of a grant, or of a request that was given up.
     *
     * @param id the grant, whether or not it was ever received
     * @param unused upper bound of the permits that were not used and never will be
     */
    public record Return(Id id, long unused) {}
}
