package org.arbutusfield.proxy.upstream;

import java.net.InetSocketAddress;

/** Receives signs that an upstream may have ended or started again. Thread-safe; does not block. */
@FunctionalInterface
public interface UpstreamRestartListener {
    /**
     * Called when the upstream closed a connection that was in use until shortly before, when it can't be connected to
     * any more, and when it can be connected to again. The cause may also be the network.
     *
     * @param address address of the upstream
     */
    void mayHaveRestarted(InetSocketAddress address);
}
