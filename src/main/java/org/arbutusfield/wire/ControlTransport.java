package org.arbutusfield.wire;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Sends a request to a peer and returns its response.
 *
 * <p>The future completes within the timeout and never exceptionally. A refusal by the peer becomes a {@code Left} with
 * the peer's code. {@code PEER_UNREACHABLE} and {@code PEER_BUSY} mean that the peer never received the request,
 * {@code PEER_LOST} and {@code PEER_TIMEOUT} that it may have received it.
 */
@FunctionalInterface
public interface ControlTransport {
    /**
     * Calls a peer.
     *
     * @param peer address of the peer
     * @param message the request
     * @param timeout how long to wait for the response, connecting included
     */
    CompletableFuture<Either<Failure, ControlMessage>> call(PeerAddress peer, ControlMessage message, Duration timeout);
}
