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
final class RetryPolicy {
    /** How often a call is made before its failure is reported. */
    static final int MAX_ATTEMPTS = 4;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    private final Optional<TimerService> timer;

    private RetryPolicy(Optional<TimerService> timer) {
        this.timer = timer;
    }

    /** Repeats at once. */
    static RetryPolicy immediate() {
        return new RetryPolicy(Optional.empty());
    }

    /** Repeats after 100 ms, 200 ms, 400 ms. */
    static RetryPolicy withBackoff(TimerService timer) {
        return new RetryPolicy(Optional.of(timer));
    }

    /** Makes an idempotent call until it succeeds, fails for good, or the attempts are used up. */
    <T> CompletableFuture<Either<Failure, T>> retry(Supplier<CompletableFuture<Either<Failure, T>>> call) {
        return retry(call, 1);
    }

    /** Completes after the pause that follows an attempt, counted from 1. */
    CompletableFuture<Void> backoff(int attempt) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        if (timer.isEmpty()) {
            elapsed.complete(null);
        } else {
            timer.get().after(INITIAL_BACKOFF.multipliedBy(1L << (attempt - 1)), () -> elapsed.complete(null));
        }
        return elapsed;
    }

    private <T> CompletableFuture<Either<Failure, T>> retry(
            Supplier<CompletableFuture<Either<Failure, T>>> call, int attempt) {
        return call.get().thenCompose(answer -> {
            if (answer.isRight() || !isTransient(answer.getLeft()) || attempt == MAX_ATTEMPTS) {
                return CompletableFuture.completedFuture(answer);
            }
            return backoff(attempt).thenCompose(elapsed -> retry(call, attempt + 1));
        });
    }

    private static boolean isTransient(Failure failure) {
        return failure.code() == ErrorCode.STORE_UNAVAILABLE
                || failure.code() == ErrorCode.STORE_TIMEOUT
                || failure.code() == ErrorCode.STORE_PROTOCOL;
    }
}
