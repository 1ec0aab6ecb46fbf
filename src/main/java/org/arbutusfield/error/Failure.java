package org.arbutusfield.error;

import java.time.Duration;
import java.util.Optional;

/**
 * One failure: its code, what it concerns, and when a retry is worthwhile.
 *
 * @param code the entry of the error table
 * @param subject what failed: a path in a document, a name, an address; may be empty
 * @param detail further words for a person; may be empty
 * @param retryAfter how long a caller should wait before it asks again, where that is known
 */
public record Failure(ErrorCode code, String subject, String detail, Optional<Duration> retryAfter) {

    /** A failure without subject or detail. */
    public static Failure of(ErrorCode code) {
        return new Failure(code, "", "", Optional.empty());
    }

    /** A failure of the named subject. */
    public static Failure of(ErrorCode code, String subject) {
        return new Failure(code, subject, "", Optional.empty());
    }

    /** A failure of the named subject with further words. */
    public static Failure of(ErrorCode code, String subject, String detail) {
        return new Failure(code, subject, detail, Optional.empty());
    }

    /** The same failure with the time after which a retry is worthwhile. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(code, subject, detail, Optional.of(delay));
    }

    /** True when the failed operation certainly had no effect. */
    public boolean notRun() {
        return code.execution() == ErrorCode.Execution.NOT_RUN;
    }
}
