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
import org.arbutusfield.team.TeamDirectory;

/**
 * The collaborators of a proxy server.
 *
 * @param router finds the service and class of a request
 * @param placement chooses where requests run
 * @param retryLimiter limits retries
 * @param idempotencyGuard claims idempotency keys
 * @param crashGuard tells which requests end the upstreams that run them
 * @param observer receives the record of each request
 * @param localHandler answers paths under {@code /-/}
 * @param peers whether an address belongs to a host of this system, which has already claimed the keys of the requests
 *     that it forwards, identified their teams and counted them
 * @param limits supplies the current limits on sizes and times
 * @param connectionShare maximum number of connections from this host to an upstream; at least 1
 * @param headerNames names of header fields
 * @param teams supplies the teams of the configuration in force
 * @param teamLimiter counts the requests of limited teams
 */
public record ProxyComponents(
        Router router,
        Placement placement,
        RetryLimiter retryLimiter,
        IdempotencyGuard idempotencyGuard,
        CrashGuard crashGuard,
        RequestObserver observer,
        LocalHandler localHandler,
        Predicate<InetAddress> peers,
        Supplier<ProxyLimits> limits,
        ToIntFunction<Upstream> connectionShare,
        HeaderNames headerNames,
        Supplier<TeamDirectory> teams,
        TeamLimiter teamLimiter) {

    /**
     * Components of a standalone host: it places requests by its own counters, claims no idempotency keys and trusts no
     * peer.
     */
    public static ProxyComponents of(String region, Supplier<Configuration> configurationInForce) {
        ProxyLimits limits = ProxyLimits.defaults();
        return new ProxyComponents(
                Router.byService(configurationInForce),
                LocalPlacement.of(region, configurationInForce),
                service -> true,
                IdempotencyGuard.NONE,
                CrashGuard.NONE,
                RequestObserver.NONE,
                LocalHandler.NONE,
                address -> false,
                () -> limits,
                upstream -> connectionShareOf(upstream, configurationInForce.get()),
                HeaderNames.defaults(),
                TeamDirectory::empty,
                TeamLimiter.UNLIMITED);
    }

    /** A copy with another router. */
    public ProxyComponents withRouter(Router replacement) {
        return new ProxyComponents(
                replacement,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another placement. */
    public ProxyComponents withPlacement(Placement replacement) {
        return new ProxyComponents(
                router,
                replacement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another retry limiter. */
    public ProxyComponents withRetryLimiter(RetryLimiter replacement) {
        return new ProxyComponents(
                router,
                placement,
                replacement,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another idempotency guard. */
    public ProxyComponents withIdempotencyGuard(IdempotencyGuard replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                replacement,
                crashGuard,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another crash guard. */
    public ProxyComponents withCrashGuard(CrashGuard replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                replacement,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another observer. */
    public ProxyComponents withObserver(RequestObserver replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                replacement,
                localHandler,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another handler of paths under {@code /-/}. */
    public ProxyComponents withLocalHandler(LocalHandler replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                replacement,
                peers,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with another test for peer addresses. */
    public ProxyComponents withPeers(Predicate<InetAddress> replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                replacement,
                limits,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with other limits. */
    public ProxyComponents withLimits(ProxyLimits replacement) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                peers,
                () -> replacement,
                connectionShare,
                headerNames,
                teams,
                teamLimiter);
    }

    /** A copy with teams, a limiter of their requests, and other names of header fields. */
    public ProxyComponents withTeams(
            Supplier<TeamDirectory> replacement, TeamLimiter limiter, HeaderNames replacementNames) {
        return new ProxyComponents(
                router,
                placement,
                retryLimiter,
                idempotencyGuard,
                crashGuard,
                observer,
                localHandler,
                peers,
                limits,
                connectionShare,
                replacementNames,
                replacement,
                limiter);
    }

    /** This host's share of an upstream's connection limit if every region ran its maximum number of hosts. */
    private static int connectionShareOf(Upstream upstream, Configuration configuration) {
        int hosts = 0;
        for (Entity region : configuration.table(Kind.REGION).values()) {
            hosts += ((Region) region).hostCeiling();
        }
        return Math.max(1, upstream.connections() / Math.max(1, hosts));
    }
}
