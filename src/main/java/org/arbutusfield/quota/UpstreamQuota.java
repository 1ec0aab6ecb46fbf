package org.arbutusfield.quota;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.state.UpstreamStart;

/** Permissions to send requests to upstreams that accept a limited rate from all hosts together. */
public interface UpstreamQuota {
    /** Returns the requests per second that the upstream has named, as far as this host knows; empty if it has none. */
    OptionalDouble namedRate(UpstreamStart upstream);

    /** Returns false if this host knows that it would get no permission for the upstream now. */
    boolean mayAsk(String upstream);

    /**
     * Asks for the permission to send one request.
     *
     * @param upstream the upstream
     * @param coldPerSecond requests per second that it accepts from all hosts together because it is cold; empty if it
     *     is not
     * @return the permission; empty, soon, if there is none. Completes on the host's event loop, never exceptionally
     */
    CompletableFuture<Optional<QuotaGrant>> ask(UpstreamStart upstream, OptionalDouble coldPerSecond);

    /**
     * Called with what a response of an upstream said of its limit.
     *
     * @param upstream the upstream
     * @param perSecond the limit that it named; empty if it named none
     * @param grant the permission under which the request was sent, if it needed one
     */
    void heard(UpstreamStart upstream, OptionalDouble perSecond, Optional<QuotaGrant> grant);
}
