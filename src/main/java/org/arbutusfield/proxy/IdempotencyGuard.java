package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * Claims the idempotency key of a request that may not be repeated, before the request is placed.
 *
 * <p>Contract: does not block; the future may complete on any thread and is never cancelled. A ticket that arrives
 * after the request was given up on is finished as not run. Requests that another entry host forwarded were claimed
 * there and are not claimed again.
 */
@FunctionalInterface
public interface IdempotencyGuard {
    /** Lets every key pass. */
    IdempotencyGuard NONE =
            (service, key, requestId, fingerprint) -> CompletableFuture.completedFuture(Either.right(outcome -> {}));

    /**
     * Claims the key.
     *
     * @param service name of the service
     * @param key the caller's idempotency key, 1 to 256 visible ASCII characters
     * @param requestId id of the request
     * @param fingerprint digest of method, target and body; of a body too large to keep only the declared length
     * @return a ticket, or the failure that the caller gets
     */
    CompletableFuture<Either<Failure, KeyClaim>> claim(
            String service, String key, String requestId, String fingerprint);
}
