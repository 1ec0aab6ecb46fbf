package org.arbutusfield.state;

import java.util.List;

/**
 * A request under which upstreams ended, one after the other, without one of them answering it in between.
 *
 * @param fingerprint digest of the request and its caller, equal each time it comes
 * @param ended the upstreams that ended, in that order
 */
public record SuspectRequest(String fingerprint, List<UpstreamStart> ended) {
    /** Ends that make it plausible that the request is the cause. It is no longer repeated by the hosts themselves. */
    public static final int SUSPECT_AFTER_ENDS = 2;
    /** Ends after which the request reaches no upstream any more. */
    public static final int QUARANTINE_AFTER_ENDS = 3;

    /** Copies the list so that the record is immutable. */
    public SuspectRequest {
        ended = List.copyOf(ended);
    }

    /** Returns true if the request must not reach an upstream. */
    public boolean quarantined() {
        return ended.size() >= QUARANTINE_AFTER_ENDS;
    }
}
