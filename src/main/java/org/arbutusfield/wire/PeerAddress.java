package org.arbutusfield.wire;

import java.net.InetSocketAddress;
import org.arbutusfield.misc.Addresses;

/**
 * Address on which a peer listens for control messages.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

    /**
     * Parses an address that a host has registered.
     *
     * @param address IP:port
     * @throws IllegalArgumentException if it has another form
     */
    public static PeerAddress parse(String address) {
        InetSocketAddress parsed =
                Addresses.parse(address).orElseThrow(() -> new IllegalArgumentException("address " + address));
        return new PeerAddress(parsed.getHostString(), parsed.getPort());
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
