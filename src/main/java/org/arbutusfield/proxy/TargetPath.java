package org.arbutusfield.proxy;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The path that an upstream may take a target for, whatever way the target is written.
 *
 * <p>A request's class decides whether it may be run twice. If {@code /%62ook} or {@code /x/../book} fell in another
 * class than {@code /book}, a booking could be repeated, so the class is looked up by this form.
 */
final class TargetPath {
    private TargetPath() {}

    /** Decodes escapes once, removes dot segments and empty segments; none if an escape is broken. */
    static Optional<String> normalise(String target) {
        String decoded;
        try {
            decoded = new QueryStringDecoder(target).path();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        if (plain(decoded)) {
            return Optional.of(decoded);
        }
        Deque<String> segments = new ArrayDeque<>();
        for (String segment : decoded.split("/", -1)) {
            if (segment.equals("..")) {
                segments.pollLast();
            } else if (!segment.isEmpty() && !segment.equals(".")) {
                segments.addLast(segment);
            }
        }
        boolean directory = decoded.endsWith("/") && !segments.isEmpty();
        return Optional.of("/" + String.join("/", segments) + (directory ? "/" : ""));
    }

    private static boolean plain(String path) {
        return !path.contains("//") && !path.contains("/.");
    }
}
