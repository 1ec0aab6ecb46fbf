package org.arbutusfield.misc;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses and formats network addresses of the form {@code IP:port}. Only IPv4 addresses are accepted, so that no name
 * is ever resolved.
 */
public final class Addresses {
    private static final Pattern PATTERN = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Parses an address; empty if the text has another form. */
    public static Optional<InetSocketAddress> parse(String text) {
        if (!PATTERN.matcher(text).matches()) {
            return Optional.empty();
        }
        int colon = text.indexOf(':');
        String host = text.substring(0, colon);
        int port = Integer.parseInt(text.substring(colon + 1));
        // What is no address would be resolved as a name.
        boolean valid = port <= MAX_PORT && NetUtil.isValidIpV4Address(host);
        return valid ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
