package org.arbutusfield.misc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HandledTest {
    private final List<String> events = new ArrayList<>();

    /** An error that can't be logged: its text is asked for, and fails. */
    private final class UnprintableError extends OutOfMemoryError {
        private static final long serialVersionUID = 1L;

        @Override
        public String getMessage() {
            events.add("logged");
            throw new OutOfMemoryError("of the line");
        }
    }

    /** Guards against a recovery that is left out because the line about the error fails. */
    @Test
    void recoveryComesBeforeTheLineAndDespiteIt() {
        Throwable error = new UnprintableError();
        assertThatCode(() -> Handled.by(value -> {}, failed -> events.add("recovered"))
                        .accept(null, error))
                .doesNotThrowAnyException();
        assertThat(events).startsWith("recovered");
        assertThat(events).contains("logged");
    }

    @Test
    void errorBeforeThereIsAFutureIsThatOfTheFuture() {
        CompletableFuture<String> future = Handled.started(() -> {
            throw new OutOfMemoryError("test");
        });
        assertThat(future).isCompletedExceptionally();
        future.whenComplete(Handled.by(value -> events.add(value), error -> events.add("recovered")));
        assertThat(events).containsExactly("recovered");
    }
}
