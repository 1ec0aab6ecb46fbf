package org.arbutusfield.error;

/** The severity of a failure, which determines the level at which it is logged. */
public enum Severity {
    /** Expected under load or caused by a mistake of the caller; the system works as designed. */
    NOTICE,
    /** Something outside the process is faulty; the system continues with reduced capacity or features. */
    WARNING,
    /** The operation failed and an operator should investigate. */
    ERROR
}
