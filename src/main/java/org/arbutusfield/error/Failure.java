package org.arbutusfield.error;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure: its code, what it concerns, and when to retry.
 *
 * @param code entry of the error table
 * @param subject what the failure concerns: a path in a document, a name or an address; may be empty
 * @param detail further explanation for a person; may be empty
 * @param retryAfter how long to wait before a retry, if known
 */
public record Failure(ErrorCode code, String subject, String detail, Optional<Duration> retryAfter) {

    /** A failure without subject or detail. */
    public static Failure of(ErrorCode code) {
        return new Failure(code, "", "", Optional.empty());
    }

    /** A failure that concerns the subject. */
    public static Failure of(ErrorCode code, String subject) {
        return new Failure(code, subject, "", Optional.empty());
    }

    /** A failure that concerns the subject, with further explanation. */
    public static Failure of(ErrorCode code, String subject, String detail) {
        return new Failure(code, subject, detail, Optional.empty());
    }

    /** A copy with the time to wait before a retry. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(code, subject, detail, Optional.of(delay));
    }

    /** True if the failed operation certainly had no effect. */
    public boolean notRun() {
        return code.execution() == ErrorCode.Execution.NOT_RUN;
    }
}
