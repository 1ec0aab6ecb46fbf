package org.arbutusfield.member;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/** Reads the platform's list of live and leaving hosts. The list may lag behind the actual state. */
@FunctionalInterface
public interface HostListSource {
    /**
     * Reads the list. Members are {@code ALIVE} or {@code LEAVING} and carry the incarnation that the platform reports.
     * The future never completes exceptionally.
     */
    CompletableFuture<Either<Failure, List<Member>>> current();

    /** A source of an empty list, for platforms without a host list. */
    static HostListSource none() {
        return () -> CompletableFuture.completedFuture(Either.right(List.of()));
    }
}
