package org.arbutusfield.quota;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Permissions to send requests to upstreams that accept a limited rate from all hosts together. */
public interface UpstreamQuota {
    /** Returns false if this host knows that it would get no permission for the upstream now. */
    boolean mayAsk(String upstream);

    /**
     * Asks for the permission to send one request.
     *
     * @param upstream name of the upstream
     * @param perSecond requests per second that it accepts from all hosts together
     * @return the permission; empty, soon, if there is none. Completes on the host's event loop, never exceptionally
     */
    CompletableFuture<Optional<QuotaGrant>> ask(String upstream, double perSecond);
}
