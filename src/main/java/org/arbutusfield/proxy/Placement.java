package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * Chooses where a request runs, and delays it until it may run there.
 *
 * <p>Contract: the method does not block and may be called on any event loop. The future may complete on any thread,
 * with a failure whose code has the execution {@code NOT_RUN}, or with a target whose permit the request path releases
 * exactly once. The request path cancels the future when the caller disconnects or the deadline passes. If
 * {@code complete} returns false for that reason, the placement must release the permit itself.
 */
@FunctionalInterface
public interface Placement {
    /** Chooses a target for the request. */
    CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest request);
}
