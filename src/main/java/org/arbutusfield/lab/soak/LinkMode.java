package org.arbutusfield.lab.soak;

/** What a {@link FaultProxy} does to the connections through it. */
enum LinkMode {
    /** Passes everything on at once. */
    PASS,
    /** Passes everything on late. */
    DELAY,
    /** Resets open and new connections. */
    RESET,
    /** Passes on what goes to the target and drops what comes back. */
    ONE_WAY,
    /** Drops both directions and leaves connections open. */
    SILENT
}
