package org.arbutusfield.lab;

/**
 * One call that reached a store stand-in.
 *
 * @param kind what was asked
 * @param key the key or the lease's key
 */
public record StoreCall(Kind kind, String key) {

    /** The calls of the store's interface. */
    public enum Kind {
        READ,
        WRITE,
        WATCH,
        ACQUIRE_LEASE,
        RELEASE_LEASE
    }

    /** True when the call counts against the store's rate of writes. */
    public boolean countsAsWrite() {
        return kind != Kind.READ && kind != Kind.WATCH;
    }
}
