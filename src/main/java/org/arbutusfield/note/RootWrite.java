package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Store;

/**
 * Moves the root from one version to the next, and finds out what became of the write when its answer is lost.
 *
 * <p><b>Problem.</b> A write whose answer is lost may have taken effect, may never do so, or may still be on its way.
 * Reading the root and finding the old version proves nothing: the write may arrive after the read.
 *
 * <p><b>Idea.</b> The same compare-and-swap is made again. At most one of all the copies can take effect, since the
 * first that does moves the version. If a copy succeeds, the note is applied. If a copy conflicts, the version has
 * moved for good and no copy still on its way can take effect; whether one of them moved it is then read from the
 * history in the root.
 *
 * <p><b>Invariants.</b> {@link Outcome#APPLIED} is told only when the note is in force; {@link Outcome#VERSION_CHANGED}
 * only when the version moved, so that the caller can read the root and be sure of what it says; a failure without
 * effect only when no copy was sent whose answer is missing.
 *
 * <p><b>Example.</b> Copy 1 is lost, copy 2 conflicts: the root has moved, by copy 1 or by another note; the root's
 * history tells which.
 */
final class RootWrite {
    /** What became of the write. */
    enum Outcome {
        /** The root holds what was written. */
        APPLIED,
        /** The root's version moved, by this write or another. */
        VERSION_CHANGED
    }

    private final Store store;
    private final RetryPolicy retryPolicy;
    private final long version;
    private final byte[] root;

    private RootWrite(Store store, RetryPolicy retryPolicy, long version, byte[] root) {
        this.store = store;
        this.retryPolicy = retryPolicy;
        this.version = version;
        this.root = root;
    }

    /** A write of the root if its version is still the given one. */
    static RootWrite of(Store store, RetryPolicy retryPolicy, long version, byte[] root) {
        return new RootWrite(store, retryPolicy, version, root);
    }

    /**
     * Makes the write.
     *
     * @return the outcome; {@code STORE_UNAVAILABLE} when it certainly had no effect; {@code STORE_TIMEOUT} when that
     *     could not be found out
     */
    CompletableFuture<Either<Failure, Outcome>> send() {
        return send(1, false);
    }

    private CompletableFuture<Either<Failure, Outcome>> send(int attempt, boolean pending) {
        return store.compareAndSwap(ConfigurationRepository.ROOT_KEY, version, root)
                .thenCompose(answer -> {
                    if (answer.isRight()) {
                        return completed(Either.right(Outcome.APPLIED));
                    }
                    Failure failure = answer.getLeft();
                    if (failure.code() == ErrorCode.STORE_CONFLICT) {
                        return completed(Either.right(Outcome.VERSION_CHANGED));
                    }
                    boolean stillPending = pending || !failure.notRun();
                    if (attempt == RetryPolicy.MAX_ATTEMPTS || failure.code() == ErrorCode.STORE_VALUE_TOO_LARGE) {
                        return completed(Either.left(stillPending ? unknownOutcome() : failure));
                    }
                    return retryPolicy.backoff(attempt).thenCompose(elapsed -> send(attempt + 1, stillPending));
                });
    }

    private static Failure unknownOutcome() {
        return Failure.of(
                ErrorCode.STORE_TIMEOUT, "", "whether the note is in force is unknown: apply it again to find out");
    }

    private static CompletableFuture<Either<Failure, Outcome>> completed(Either<Failure, Outcome> outcome) {
        return CompletableFuture.completedFuture(outcome);
    }
}
