package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import org.arbutusfield.model.Upstream;

/** The upstream or host to which a request is sent next. */
public sealed interface PlacementTarget permits PlacementTarget.UpstreamTarget, PlacementTarget.HostTarget {

    /** The name that is added to {@link PlacementRequest#tried()} when the attempt fails. */
    String name();

    /** The permit that the request holds at the target. */
    Permit permit();

    /**
     * An upstream.
     *
     * @param upstream the upstream
     * @param permit permit that the request holds at the target
     */
    record UpstreamTarget(Upstream upstream, Permit permit) implements PlacementTarget {
        @Override
        public String name() {
            return upstream.name();
        }
    }

    /**
     * A host of another region, which admits or refuses the request by its own counts.
     *
     * @param name the host's name
     * @param address the host's caller port
     * @param permit permit that the request holds at the target
     */
    record HostTarget(String name, InetSocketAddress address, Permit permit) implements PlacementTarget {}
}
