package org.arbutusfield.wire;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Handles one type of control message. Runs on a network thread and must not block. A {@code Left} reaches the sender
 * as a refusal; the result of a one-way message is discarded.
 */
@FunctionalInterface
public interface ControlHandler {
    /** Handles a message and returns the response. */
    CompletableFuture<Either<Failure, ControlMessage>> handle(ControlMessage message);
}
