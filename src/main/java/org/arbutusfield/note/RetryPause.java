package org.arbutusfield.note;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;

/** Repeats store calls that may be repeated, a bounded number of times, with growing pauses where there is a timer. */
final class RetryPause {
    /** How often a call is made before its failure is reported. */
    static final int ATTEMPTS = 4;

    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    private final Optional<TimerService> timer;

    private RetryPause(Optional<TimerService> timer) {
        this.timer = timer;
    }

    /** Repeats at once. */
    static RetryPause none() {
        return new RetryPause(Optional.empty());
    }

    /** Repeats after 100 ms, 200 ms, 400 ms. */
    static RetryPause of(TimerService timer) {
        return new RetryPause(Optional.of(timer));
    }

    /** Makes an idempotent call until it succeeds, fails for good, or the attempts are used up. */
    <T> CompletableFuture<Either<Failure, T>> repeat(Supplier<CompletableFuture<Either<Failure, T>>> call) {
        return repeat(call, 1);
    }

    /** Completes after the pause that follows an attempt, counted from 1. */
    CompletableFuture<Void> after(int attempt) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        if (timer.isEmpty()) {
            over.complete(null);
        } else {
            timer.get().after(FIRST_PAUSE.multipliedBy(1L << (attempt - 1)), () -> over.complete(null));
        }
        return over;
    }

    private <T> CompletableFuture<Either<Failure, T>> repeat(
            Supplier<CompletableFuture<Either<Failure, T>>> call, int attempt) {
        return call.get().thenCompose(answer -> {
            if (answer.isRight() || !mayPass(answer.getLeft()) || attempt == ATTEMPTS) {
                return CompletableFuture.completedFuture(answer);
            }
            return after(attempt).thenCompose(over -> repeat(call, attempt + 1));
        });
    }

    private static boolean mayPass(Failure failure) {
        return failure.code() == ErrorCode.STORE_UNAVAILABLE
                || failure.code() == ErrorCode.STORE_TIMEOUT
                || failure.code() == ErrorCode.STORE_PROTOCOL;
    }
}
