package org.arbutusfield.steering;

import java.util.Optional;
import org.arbutusfield.state.LiveUpstream;

/**
 * An upstream that was selected for a request, and why.
 *
 * @param upstream the upstream
 * @param reason the reason
 * @param home the object's home, if it is known
 * @param considered number of upstreams that were considered
 */
record Selection(LiveUpstream upstream, Choice.Reason reason, Optional<String> home, int considered) {}
