package org.arbutusfield.ctl;

import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** Exit codes of the command-line tool. */
public enum ExitCode {
    DONE(0, "done"),
    REFUSED(1, "refused; nothing was changed"),
    USAGE(2, "the command line is not understood"),
    CONFLICT(3, "the running state moved; nothing was changed"),
    UNKNOWN(4, "the outcome is unknown; check with 'note status ID'"),
    UNREACHABLE(5, "the store or a host cannot be reached; nothing was changed"),
    TIMEOUT(6, "not in force everywhere within the time given");

    private final int status;
    private final String description;

    ExitCode(int status, String description) {
        this.status = status;
        this.description = description;
    }

    /** The exit status of the process. */
    public int status() {
        return status;
    }

    /** Description of the exit code, for the help text. */
    public String description() {
        return description;
    }

    /** Returns the exit code for the first of the failures. */
    public static ExitCode of(List<Failure> failures) {
        ErrorCode code = failures.get(0).code();
        return switch (code) {
            case USAGE -> USAGE;
            case NOTE_CONFLICT, STORE_CONFLICT -> CONFLICT;
            case STORE_UNAVAILABLE, PEER_UNREACHABLE -> UNREACHABLE;
            default -> code.execution() == ErrorCode.Execution.UNKNOWN ? UNKNOWN : REFUSED;
        };
    }
}
