package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * Claims the idempotency key of a non-repeatable request before the request is placed.
 *
 * <p>Contract: {@code claim} does not block; the future may complete on any thread and is never cancelled. A claim that
 * is granted after the request was abandoned is completed as not run. The key of a request forwarded by another host
 * was claimed there and is not claimed again.
 */
@FunctionalInterface
public interface IdempotencyGuard {
    /** Grants every claim. */
    IdempotencyGuard NONE =
            (service, key, requestId, fingerprint) -> CompletableFuture.completedFuture(Either.right(outcome -> {}));

    /**
     * Claims the key.
     *
     * @param service name of the service
     * @param key the caller's idempotency key, 1 to 256 visible ASCII characters
     * @param requestId id of the request
     * @param fingerprint digest of method, target and body; for a body too large to keep, only its declared length is
     *     included
     * @return the claim, or the failure to report to the caller
     */
    CompletableFuture<Either<Failure, KeyClaim>> claim(
            String service, String key, String requestId, String fingerprint);
}
