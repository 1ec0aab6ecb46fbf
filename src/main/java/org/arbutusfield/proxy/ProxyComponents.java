package org.arbutusfield.proxy;

import java.net.InetAddress;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.Upstream;

/**
 * The parts that an entry server works with.
 *
 * @param router finds what a request asks for
 * @param placement where requests run
 * @param retries budget for retries
 * @param keys claims of idempotency keys
 * @param observer gets the account of each request
 * @param local answers paths under {@code /-/}
 * @param peers whether an address is an entry host, whose forwarded requests were claimed there
 * @param limits bounds on sizes and times, as they are at the moment
 * @param connectionShare how many connections this host may have to an upstream; at least 1
 * @param names names of header fields
 */
public record ProxyComponents(
        Router router,
        Placement placement,
        RetryLimiter retries,
        IdempotencyGuard keys,
        RequestObserver observer,
        LocalHandler local,
        Predicate<InetAddress> peers,
        Supplier<ProxyLimits> limits,
        ToIntFunction<Upstream> connectionShare,
        HeaderNames names) {

    /** A host by itself: it places by its own counts, claims no keys and trusts no peer. */
    public static ProxyComponents of(String region, Supplier<Configuration> running) {
        ProxyLimits limits = ProxyLimits.standard();
        return new ProxyComponents(
                Router.byService(running),
                LocalPlacement.of(region, running),
                service -> true,
                IdempotencyGuard.NONE,
                RequestObserver.NONE,
                LocalHandler.NONE,
                address -> false,
                () -> limits,
                upstream -> share(upstream, running.get()),
                HeaderNames.standard());
    }

    /** The same with another placement. */
    public ProxyComponents withPlacement(Placement other) {
        return new ProxyComponents(
                router, other, retries, keys, observer, local, peers, limits, connectionShare, names);
    }

    /** The same with another budget for retries. */
    public ProxyComponents withRetryLimiter(RetryLimiter other) {
        return new ProxyComponents(
                router, placement, other, keys, observer, local, peers, limits, connectionShare, names);
    }

    /** The same with another guard of idempotency keys. */
    public ProxyComponents withIdempotencyGuard(IdempotencyGuard other) {
        return new ProxyComponents(
                router, placement, retries, other, observer, local, peers, limits, connectionShare, names);
    }

    /** The same with another observer. */
    public ProxyComponents withObserver(RequestObserver other) {
        return new ProxyComponents(
                router, placement, retries, keys, other, local, peers, limits, connectionShare, names);
    }

    /** The same with another handler of paths under {@code /-/}. */
    public ProxyComponents withLocalHandler(LocalHandler other) {
        return new ProxyComponents(
                router, placement, retries, keys, observer, other, peers, limits, connectionShare, names);
    }

    /** The same with another test for entry hosts. */
    public ProxyComponents withPeers(Predicate<InetAddress> other) {
        return new ProxyComponents(
                router, placement, retries, keys, observer, local, other, limits, connectionShare, names);
    }

    /** The same with other limits. */
    public ProxyComponents withLimits(ProxyLimits other) {
        return new ProxyComponents(
                router, placement, retries, keys, observer, local, peers, () -> other, connectionShare, names);
    }

    /** This host's share of an upstream's connections, with every region at its ceiling of hosts. */
    private static int share(Upstream upstream, Configuration configuration) {
        int hosts = 0;
        for (Entity region : configuration.table(Kind.REGION).values()) {
            hosts += ((Region) region).hostCeiling();
        }
        return Math.max(1, upstream.connections() / Math.max(1, hosts));
    }
}
