package org.arbutusfield.lab;

/**
 * A call received by a store stand-in.
 *
 * @param kind the operation
 * @param key key of the value or of the lease
 */
public record StoreCall(Kind kind, String key) {

    /** The operations of a store. */
    public enum Kind {
        READ,
        WRITE,
        WATCH,
        ACQUIRE_LEASE,
        RELEASE_LEASE
    }

    /** True if the call counts against the limit on writes, as calls for leases do. */
    public boolean countsAsWrite() {
        return kind != Kind.READ && kind != Kind.WATCH;
    }
}
