package org.arbutusfield.lab.soak;

/** How a {@link FaultProxy} treats the connections through it. */
public enum LinkMode {
    /** Forwards everything at once. */
    PASS,
    /** Forwards everything with a delay. */
    DELAY,
    /** Resets open and new connections. */
    RESET,
    /** Forwards what goes to the target and drops what comes back. */
    ONE_WAY,
    /** Drops both directions and leaves connections open. */
    SILENT
}
