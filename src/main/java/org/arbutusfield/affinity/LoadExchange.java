package org.arbutusfield.affinity;

import java.util.List;
import org.arbutusfield.wire.gen.UpstreamLoad;

/** What this host tells the planner of the upstreams' loads with its reports, and what it hears from it in return. */
public interface LoadExchange {
    /** Passes no loads on. */
    LoadExchange NONE = new LoadExchange() {
        @Override
        public List<UpstreamLoad> report(String service, long nowNanos) {
            return List.of();
        }

        @Override
        public void heard(List<UpstreamLoad> loads, long nowNanos) {}
    };

    /** Returns the loads that this host has itself heard from a service's upstreams since the last report. */
    List<UpstreamLoad> report(String service, long nowNanos);

    /** Receives loads that any host has heard. */
    void heard(List<UpstreamLoad> loads, long nowNanos);
}
