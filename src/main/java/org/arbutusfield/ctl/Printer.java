package org.arbutusfield.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpResponse;

/** Prints results as text or as JSON. */
final class Printer {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    private Printer(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Creates a printer to these streams. */
    static Printer of(PrintStream out, PrintStream err, boolean json) {
        return new Printer(out, err, json);
    }

    /** Prints the text, or the value if the output is JSON. */
    void print(String text, Object value) {
        if (!json) {
            out.print(text.endsWith("\n") ? text : text + "\n");
            return;
        }
        try {
            out.println(JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write as JSON: " + value.getClass(), e);
        }
    }

    /** Prints failures to the error stream, one line each. */
    void printFailures(List<Failure> failures) {
        for (Failure failure : failures) {
            err.println(
                    json
                            ? SimpleHttpResponse.problem(failure).text()
                            : failure.code() + " " + failure.subject() + ": "
                                    + failure.code().message()
                                    + (failure.detail().isEmpty() ? "" : " (" + failure.detail() + ")"));
        }
    }
}
