package org.arbutusfield.wire;

/**
 * Address on which a peer listens for control messages.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
