package org.arbutusfield.note;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;

/** Retries idempotent store calls a limited number of times, with exponential back-off if a timer is given. */
final class RetryPolicy {
    /** Maximum number of attempts, including the first. */
    static final int MAX_ATTEMPTS = 4;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    private final Optional<TimerService> timer;

    private RetryPolicy(Optional<TimerService> timer) {
        this.timer = timer;
    }

    /** Retries immediately, without back-off. */
    static RetryPolicy immediate() {
        return new RetryPolicy(Optional.empty());
    }

    /** Retries after 100 ms, 200 ms and 400 ms. */
    static RetryPolicy withBackoff(TimerService timer) {
        return new RetryPolicy(Optional.of(timer));
    }

    /** Makes an idempotent call until it succeeds, fails with a permanent error, or the attempts are exhausted. */
    <T> CompletableFuture<Either<Failure, T>> retry(Supplier<CompletableFuture<Either<Failure, T>>> call) {
        return retry(call, 1);
    }

    /** Returns a future that completes after the back-off that follows the given attempt, counted from 1. */
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
        return call.get().thenCompose(result -> {
            if (result.isRight() || !isTransient(result.getLeft()) || attempt == MAX_ATTEMPTS) {
                return CompletableFuture.completedFuture(result);
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
