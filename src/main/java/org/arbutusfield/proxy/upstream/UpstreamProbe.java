package org.arbutusfield.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Tries to connect to upstreams, without sending anything. */
@FunctionalInterface
public interface UpstreamProbe {
    /** Connects to an address and closes the connection at once. The future never fails. */
    CompletableFuture<Result> connect(InetSocketAddress address);

    /** What came of it. */
    enum Result {
        /** The connection was accepted. */
        ACCEPTED,
        /** The connection was refused, so nothing listens there. */
        REFUSED,
        /** Nothing came back in time. */
        NO_ANSWER
    }
}
