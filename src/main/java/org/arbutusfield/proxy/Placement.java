package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * Chooses where a request runs, and holds it until it may run there.
 *
 * <p>Contract: the method does not block and may be called on any event loop. The future may complete on any thread,
 * with a failure whose code says {@code NOT_RUN}, or with a place whose permit the request path releases exactly once.
 * The request path cancels the future when the caller leaves or the deadline passes; a placement whose {@code complete}
 * then returns false takes the permit back itself.
 */
@FunctionalInterface
public interface Placement {
    /** Chooses a place for the request. */
    CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest facts);
}
