package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import org.arbutusfield.model.Upstream;

/** Where a request goes next. */
public sealed interface PlacementTarget permits PlacementTarget.UpstreamTarget, PlacementTarget.HostTarget {

    /** The name that goes into {@link PlacementRequest#tried()} when this try fails. */
    String name();

    /** The right that the request holds there. */
    Permit permit();

    /**
     * An upstream.
     *
     * @param upstream the upstream
     * @param permit the right that the request holds there
     */
    record UpstreamTarget(Upstream upstream, Permit permit) implements PlacementTarget {
        @Override
        public String name() {
            return upstream.name();
        }
    }

    /**
     * An entry host of another region, which admits the request by its own figures or refuses it.
     *
     * @param name the host's name
     * @param address the host's caller port
     * @param permit the right that the request holds there
     */
    record HostTarget(String name, InetSocketAddress address, Permit permit) implements PlacementTarget {}
}
