package org.arbutusfield.quarantine;

import org.arbutusfield.state.UpstreamStart;

/**
 * A run of a request during which its upstream ended.
 *
 * @param upstream the start of the upstream that ended
 * @param sentNanos monotonic time at which the request was sent to it
 * @param endedNanos monotonic time at which it ended
 */
record CrashedRun(UpstreamStart upstream, long sentNanos, long endedNanos) {}
