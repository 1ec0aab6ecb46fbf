package org.arbutusfield.proxy;

import java.time.Duration;

/**
 * The planned stop of a host, as its exchanges see it.
 *
 * @param endNanos monotonic time at which every exchange must have ended, so that its last bytes still leave the host
 */
record HostStop(long endNanos) {

    /** A stop whose exchanges end after a time from now. */
    static HostStop after(Duration time) {
        return new HostStop(System.nanoTime() + time.toNanos());
    }

    /** Returns the one of two stops whose exchanges end first. */
    HostStop earlier(HostStop other) {
        return other.endNanos - endNanos < 0 ? other : this;
    }

    /** Returns the time left until the end, zero if it has passed. */
    Duration remaining() {
        return Duration.ofNanos(Math.max(0, endNanos - System.nanoTime()));
    }
}
