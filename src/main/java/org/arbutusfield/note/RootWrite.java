package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Store;

/**
 * Writes the root by compare-and-swap and determines the outcome when a response is lost.
 *
 * <p><b>Problem.</b> A write whose response is lost may have taken effect, may never take effect, or may still be in
 * transit. Reading the old version of the root proves nothing, because the write may reach the store after the read.
 *
 * <p><b>Idea.</b> The same compare-and-swap is retried. At most one attempt can take effect, because the first that
 * does changes the version. If an attempt succeeds, the note is applied. If an attempt conflicts, the version has
 * changed, and no attempt still in transit can take effect. The history in the root then shows whether an earlier
 * attempt changed the version.
 *
 * <p><b>Invariants.</b> {@link Outcome#APPLIED} is returned only when the note is applied.
 * {@link Outcome#VERSION_CHANGED} is returned only when the version has changed, so that a subsequent read of the root
 * is conclusive. A failure without effect is returned only when no attempt has an unknown outcome.
 *
 * <p><b>Example.</b> The response to attempt 1 is lost and attempt 2 conflicts: either attempt 1 or another note
 * changed the root, and the history in the root shows which.
 */
final class RootWrite {
    /** Outcome of the write. */
    enum Outcome {
        /** This write took effect. */
        APPLIED,
        /** The version of the root has changed, by an earlier attempt of this write or by another writer. */
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

    /** Creates a write that takes effect only if the root still has the given version. */
    static RootWrite of(Store store, RetryPolicy retryPolicy, long version, byte[] root) {
        return new RootWrite(store, retryPolicy, version, root);
    }

    /**
     * Sends the write, with retries.
     *
     * @return the outcome; a failure without effect, such as {@code STORE_UNAVAILABLE}, when no attempt can take
     *     effect; {@code STORE_TIMEOUT} when the outcome is unknown
     */
    CompletableFuture<Either<Failure, Outcome>> send() {
        return send(1, false);
    }

    private CompletableFuture<Either<Failure, Outcome>> send(int attempt, boolean pending) {
        return store.compareAndSwap(ConfigurationRepository.ROOT_KEY, version, root)
                .thenCompose(result -> {
                    if (result.isRight()) {
                        return completed(Either.right(Outcome.APPLIED));
                    }
                    Failure failure = result.getLeft();
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
                ErrorCode.STORE_TIMEOUT, "", "it is unknown whether the note is in force: apply it again to find out");
    }

    private static CompletableFuture<Either<Failure, Outcome>> completed(Either<Failure, Outcome> outcome) {
        return CompletableFuture.completedFuture(outcome);
    }
}
