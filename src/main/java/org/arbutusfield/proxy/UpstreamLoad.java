package org.arbutusfield.proxy;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * What an upstream tells of its load with an answer.
 *
 * @param running requests that it runs
 * @param waiting requests that wait for a slot
 * @param slots requests that it runs at once
 */
public record UpstreamLoad(int running, int waiting, int slots) {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})");

    /** Reads {@code running,waiting,slots}; empty if the text has another form. */
    public static Optional<UpstreamLoad> parse(String text) {
        var matcher = FORM.matcher(text.replace(" ", ""));
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new UpstreamLoad(
                Integer.parseInt(matcher.group(1)),
                Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(3))));
    }
}
