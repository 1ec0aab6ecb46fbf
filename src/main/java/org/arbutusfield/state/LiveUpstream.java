package org.arbutusfield.state;

import org.arbutusfield.model.Upstream;

/**
 * An upstream that may get requests.
 *
 * @param upstream the upstream; its name is the id of its entry
 * @param region region of the upstream
 * @param coldUntilNanos monotonic time from which it is warm
 * @param firstSeenNanos monotonic time at which this host first saw this start of the upstream
 * @param startMillis wall-clock time of its start in milliseconds, which distinguishes starts with the same name; 0 if
 *     unknown
 * @param nameHash hash of its name, for rendezvous hashing
 */
public record LiveUpstream(
        Upstream upstream, String region, long coldUntilNanos, long firstSeenNanos, long startMillis, long nameHash) {

    /** Returns the name of the upstream. */
    public String name() {
        return upstream.name();
    }

    /** Returns the start of the upstream that this is. */
    public UpstreamStart start() {
        return new UpstreamStart(name(), startMillis);
    }

    /** Returns true while the upstream is cold. */
    public boolean cold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /** Returns this upstream, cold until another time. */
    public LiveUpstream withColdUntil(long nanos) {
        return new LiveUpstream(upstream, region, nanos, firstSeenNanos, startMillis, nameHash);
    }
}
