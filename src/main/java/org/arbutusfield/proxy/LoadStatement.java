package org.arbutusfield.proxy;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.DecimalText;
import org.arbutusfield.misc.LogValue;

/** Decodes the load that an upstream states: {@code running,waiting,slots[,speed]}, with a speed of 100 as usual. */
final class LoadStatement {
    private static final Logger LOG = LogManager.getLogger(LoadStatement.class);
    private static final Pattern FORMAT =
            Pattern.compile("\\s*([0-9]{1,6})\\s*,\\s*([0-9]{1,6})\\s*,\\s*([0-9]{1,6})\\s*(?:,([^,]{1,24}))?");
    /** No upstream has so many slots or waiting requests; a larger figure is a fault of the sender. */
    private static final int MAX_COUNT = 100_000;

    private static final double USUAL_SPEED = 100;
    /** Speeds outside 1 to this, a hundredth to a thousand times the usual time, are a fault of the sender. */
    private static final double MAX_SPEED = 100_000;

    private LoadStatement() {}

    /** Returns the stated load; empty, and logged, if it can't be read, is negative or is implausible. */
    static Optional<UpstreamNotice.Load> read(String value, String upstream) {
        Optional<UpstreamNotice.Load> load = decode(value);
        if (load.isEmpty()) {
            LOG.warn("event=upstream_load_unreadable upstream={} value={}", upstream, LogValue.of(value));
        }
        return load;
    }

    private static Optional<UpstreamNotice.Load> decode(String value) {
        Matcher matcher = FORMAT.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int running = Integer.parseInt(matcher.group(1));
        int waiting = Integer.parseInt(matcher.group(2));
        int slots = Integer.parseInt(matcher.group(3));
        boolean plausible = slots > 0 && Math.max(slots, Math.max(running, waiting)) <= MAX_COUNT;
        if (!plausible) {
            return Optional.empty();
        }
        if (matcher.group(4) == null) {
            return Optional.of(new UpstreamNotice.Load(running, waiting, slots, OptionalDouble.empty()));
        }
        OptionalDouble speed = DecimalText.parse(matcher.group(4));
        if (speed.isEmpty() || speed.getAsDouble() < 1 || speed.getAsDouble() > MAX_SPEED) {
            return Optional.empty();
        }
        return Optional.of(
                new UpstreamNotice.Load(running, waiting, slots, OptionalDouble.of(speed.getAsDouble() / USUAL_SPEED)));
    }
}
