package org.arbutusfield.proxy;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Normalises the path of a request target, so that different spellings of one path compare equal.
 *
 * <p>A request's class decides whether it may be run twice. If {@code /%62ook} or {@code /x/../book} fell into another
 * class than {@code /book}, a booking could be repeated. Therefore the class is looked up by the normalised path.
 */
final class TargetPath {
    private TargetPath() {}

    /** Decodes percent escapes once and removes dot segments and empty segments; empty if an escape is malformed. */
    static Optional<String> normalise(String target) {
        String decoded;
        try {
            decoded = new QueryStringDecoder(target).path();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        if (isNormalised(decoded)) {
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

    private static boolean isNormalised(String path) {
        return !path.contains("//") && !path.contains("/.");
    }
}
