package org.arbutusfield.lab;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.timer.TimerService;

/** Stand-ins for all upstreams that a release note adds. */
public final class UpstreamFleet implements AutoCloseable {
    private final List<UpstreamStandIn> servers;

    private UpstreamFleet(List<UpstreamStandIn> servers) {
        this.servers = servers;
    }

    /** Starts one stand-in for each upstream among the items, at the upstream's address. */
    public static Either<Failure, UpstreamFleet> bind(
            EventLoopGroup group, List<Entity> items, Duration serviceTime, TimerService timer) {
        List<UpstreamStandIn> servers = new ArrayList<>();
        for (Entity item : items) {
            if (!(item instanceof Upstream upstream)) {
                continue;
            }
            InetSocketAddress address = new InetSocketAddress(upstream.host(), upstream.port());
            Either<Failure, UpstreamStandIn> server =
                    UpstreamStandIn.bind(group, address, upstream.name(), upstream.slots(), serviceTime, timer);
            if (server.isLeft()) {
                servers.forEach(UpstreamStandIn::close);
                return Either.left(server.getLeft());
            }
            servers.add(server.get());
        }
        return Either.right(new UpstreamFleet(servers));
    }

    /** Returns the number of runs of each idempotency key, over all servers. */
    public Map<String, Integer> keyRuns() {
        Map<String, Integer> sums = new HashMap<>();
        servers.forEach(server -> server.keyRuns().forEach((key, runs) -> sums.merge(key, runs, Integer::sum)));
        return sums;
    }

    /** Returns the number of requests shed by all servers. */
    public long sheds() {
        return servers.stream().mapToLong(UpstreamStandIn::sheds).sum();
    }

    @Override
    public void close() {
        servers.forEach(UpstreamStandIn::close);
    }
}
