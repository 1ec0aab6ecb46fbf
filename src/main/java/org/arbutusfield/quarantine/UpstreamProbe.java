package org.arbutusfield.quarantine;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Finds out whether an upstream's port is closed, as this host sees it. */
@FunctionalInterface
public interface UpstreamProbe {
    /**
     * Tries to connect.
     *
     * @param address address of the upstream
     * @return true if the connection was refused; false if it was accepted or nothing came back in time
     */
    CompletableFuture<Boolean> refuses(InetSocketAddress address);
}
