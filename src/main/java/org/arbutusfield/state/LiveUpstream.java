package org.arbutusfield.state;

import org.arbutusfield.model.Upstream;

/**
 * An upstream that takes requests.
 *
 * @param upstream its model; the name is the id of this start
 * @param region region that it stands in
 * @param coldUntilNanos monotonic time at which it is warm
 * @param firstSeenNanos monotonic time at which this host first knew of it
 * @param nameHash hash of its name, for rendezvous
 */
public record LiveUpstream(Upstream upstream, String region, long coldUntilNanos, long firstSeenNanos, long nameHash) {

    /** Its name. */
    public String name() {
        return upstream.name();
    }

    /** True while it is cold. */
    public boolean cold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }
}
