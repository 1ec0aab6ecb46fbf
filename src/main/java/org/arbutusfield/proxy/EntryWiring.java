package org.arbutusfield.proxy;

import java.net.InetAddress;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.arbutusfield.model.Configuration;

/**
 * The parts that an entry server works with.
 *
 * @param region region of this host
 * @param running the configuration in force
 * @param placement where requests run
 * @param retries budget for retries
 * @param keys claims of idempotency keys
 * @param observer gets the account of each request
 * @param local answers paths under {@code /-/}
 * @param peers whether an address is an entry host, whose forwarded requests were claimed there
 * @param limits bounds on sizes and times
 */
public record EntryWiring(
        String region,
        Supplier<Configuration> running,
        Placement placement,
        RetryPermit retries,
        KeyGuard keys,
        RequestObserver observer,
        LocalHandler local,
        Predicate<InetAddress> peers,
        ProxyLimits limits) {

    /** A host by itself: it places by its own counts, claims no keys and trusts no peer. */
    public static EntryWiring of(String region, Supplier<Configuration> running) {
        return new EntryWiring(
                region,
                running,
                LocalPlacement.of(region, running),
                service -> true,
                KeyGuard.NONE,
                RequestObserver.NONE,
                LocalHandler.NONE,
                address -> false,
                ProxyLimits.standard());
    }

    /** The same with another placement. */
    public EntryWiring withPlacement(Placement other) {
        return new EntryWiring(region, running, other, retries, keys, observer, local, peers, limits);
    }

    /** The same with another budget for retries. */
    public EntryWiring withRetries(RetryPermit other) {
        return new EntryWiring(region, running, placement, other, keys, observer, local, peers, limits);
    }

    /** The same with another guard of idempotency keys. */
    public EntryWiring withKeys(KeyGuard other) {
        return new EntryWiring(region, running, placement, retries, other, observer, local, peers, limits);
    }

    /** The same with another observer. */
    public EntryWiring withObserver(RequestObserver other) {
        return new EntryWiring(region, running, placement, retries, keys, other, local, peers, limits);
    }

    /** The same with another handler of paths under {@code /-/}. */
    public EntryWiring withLocal(LocalHandler other) {
        return new EntryWiring(region, running, placement, retries, keys, observer, other, peers, limits);
    }

    /** The same with another test for entry hosts. */
    public EntryWiring withPeers(Predicate<InetAddress> other) {
        return new EntryWiring(region, running, placement, retries, keys, observer, local, other, limits);
    }

    /** The same with other limits. */
    public EntryWiring withLimits(ProxyLimits other) {
        return new EntryWiring(region, running, placement, retries, keys, observer, local, peers, other);
    }
}
