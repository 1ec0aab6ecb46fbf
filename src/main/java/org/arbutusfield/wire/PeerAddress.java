package org.arbutusfield.wire;

/**
 * Where a peer listens for control messages.
 *
 * @param host IP number
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
