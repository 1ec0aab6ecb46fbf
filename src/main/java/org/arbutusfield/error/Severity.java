package org.arbutusfield.error;

/** How grave a failure is, and so at which level it is logged. */
public enum Severity {
    /** Expected under load or by a caller's mistake; the system works as designed. */
    NOTICE,
    /** Something outside is faulty; service goes on with less. */
    WARNING,
    /** The operation failed and somebody should look. */
    ERROR
}
