package org.arbutusfield.misc;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Network addresses as text, {@code IP:port} with an IPv4 address, so that no name is ever looked up. */
public final class Addresses {
    private static final Pattern FORM = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Reads an address; empty if the text has another form. */
    public static Optional<InetSocketAddress> parse(String text) {
        if (!FORM.matcher(text).matches()) {
            return Optional.empty();
        }
        int colon = text.indexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        return port > MAX_PORT ? Optional.empty() : Optional.of(new InetSocketAddress(text.substring(0, colon), port));
    }

    /** Writes an address as {@link #parse} reads it. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
