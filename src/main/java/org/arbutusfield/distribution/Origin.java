package org.arbutusfield.distribution;

/** Where a snapshot came from. */
public enum Origin {
    /** Read from the store, or accepted by it just now. */
    STORE,
    /** Received from another host. */
    PEER
}
