package org.arbutusfield.reach;

import org.arbutusfield.state.UpstreamStart;

/** Receives what a host finds of the ports of upstreams that may have ended. */
@FunctionalInterface
public interface PortListener {
    /**
     * Called each time that a port is found closed, and when it is found open after that.
     *
     * @param start start of the upstream as the store knows it
     * @param open false if nothing listens at the port; true if something does again
     */
    void found(UpstreamStart start, boolean open);
}
