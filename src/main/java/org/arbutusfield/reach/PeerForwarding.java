package org.arbutusfield.reach;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;

/**
 * Passes requests on through another host while this one doesn't reach the upstreams of their service, and limits what
 * others pass on through this one.
 *
 * <p>A request is passed on once. The host that gets it refuses it, not run, if it is cut off itself or gets more than
 * its callers' requests leave room for; the sender then asks another one. When no host can help, the request is refused
 * at once.
 *
 * <p>Runs on one event loop.
 */
public final class PeerForwarding {
    private static final Logger LOG = LogManager.getLogger(PeerForwarding.class);
    /** Refusals of a helper that hold for its next requests as well. */
    private static final Set<ErrorCode> REASONS_TO_REST =
            EnumSet.of(ErrorCode.HOST_CUT_OFF, ErrorCode.HOST_BUSY, ErrorCode.HOST_LEAVING);

    private static final Duration RETRY_AFTER = Duration.ofMillis(400);
    private static final Duration SECOND = Duration.ofSeconds(1);
    /** Requests per second that a whole core takes from other hosts, beside those of its own callers. */
    private static final int HELPED_PER_CORE = 200;

    private static final int MILLICORES_PER_CORE = 1_000;
    private static final int MIN_HELPED = 20;

    private final Supplier<SteeringState> state;
    private final UpstreamReach reach;
    private final HelperHosts helpers;
    private final int maxHelpedPerSecond;
    private final TimerService timer;
    private long secondStartNanos;
    private int helpedInSecond;

    private PeerForwarding(
            Supplier<SteeringState> state,
            UpstreamReach reach,
            HelperHosts helpers,
            int maxHelpedPerSecond,
            TimerService timer) {
        this.state = state;
        this.reach = reach;
        this.helpers = helpers;
        this.maxHelpedPerSecond = maxHelpedPerSecond;
        this.timer = timer;
    }

    /**
     * Creates the forwarding of one host.
     *
     * @param self name of the host
     * @param region region of the host
     * @param capacity its share of processors, in thousandths of a core
     * @param state supplies the current state
     * @param reach tells which services the host reaches
     * @param timer monotonic clock
     * @param random source of choices
     */
    public static PeerForwarding create(
            String self,
            String region,
            int capacity,
            Supplier<SteeringState> state,
            UpstreamReach reach,
            TimerService timer,
            RandomGenerator random) {
        int limit = Math.max(MIN_HELPED, capacity * HELPED_PER_CORE / MILLICORES_PER_CORE);
        return new PeerForwarding(state, reach, HelperHosts.of(self, region, random), limit, timer);
    }

    /** Returns the host to which a request goes, or its refusal; empty if it uses this host's own links. */
    public Optional<Either<Failure, PlacementTarget>> place(PlacementRequest request) {
        return request.hops() > 0 ? refusalOfForwarded(request) : forward(request);
    }

    /** Records that an upstream responded on a new connection. */
    public void reached(String service) {
        reach.reached(service);
    }

    /** Records that a new connection to an upstream could not be opened, or was lost before a byte came. */
    public void failed(String service, String upstream) {
        reach.failed(service, upstream);
    }

    private Optional<Either<Failure, PlacementTarget>> refusalOfForwarded(PlacementRequest request) {
        String service = request.service().name();
        if (reach.cutOff(service)) {
            return refusal(ErrorCode.HOST_CUT_OFF, service);
        }
        if (request.tried().isEmpty() && !acquireHelp()) {
            return refusal(ErrorCode.HOST_BUSY, service);
        }
        return Optional.empty();
    }

    private Optional<Either<Failure, PlacementTarget>> forward(PlacementRequest request) {
        String service = request.service().name();
        boolean retry = !request.tried().isEmpty();
        boolean ownLinks = retry ? !reach.doubtful(service) : reach.usesOwnLinks(service);
        List<HostEntry> hosts = state.get().hosts();
        if (ownLinks || hosts.size() <= 1) {
            return Optional.empty();
        }
        List<HostEntry> allowedByTeam = request.team().isEmpty()
                ? hosts
                : hosts.stream().filter(host -> request.allows(host.region())).toList();
        Optional<HostEntry> helper = helpers.choose(allowedByTeam, request.tried(), request::allows, timer.nowNanos());
        if (helper.isPresent()) {
            return Optional.of(Either.right(target(request, helper.get())));
        }
        return reach.cutOff(service) ? refusal(ErrorCode.HOST_CUT_OFF, service) : Optional.empty();
    }

    private PlacementTarget target(PlacementRequest request, HostEntry helper) {
        InetSocketAddress address = Addresses.parse(helper.callerAddress()).orElseThrow();
        helpers.started(helper.name());
        LOG.info(
                "event=forwarded id={} service={} host={} region={}",
                request.requestId(),
                request.service().name(),
                helper.name(),
                helper.region());
        return new PlacementTarget.HostTarget(helper.name(), address, new HelperPermit(helper.name()));
    }

    private boolean acquireHelp() {
        long now = timer.nowNanos();
        if (now - secondStartNanos >= SECOND.toNanos()) {
            secondStartNanos = now;
            helpedInSecond = 0;
        }
        if (helpedInSecond >= maxHelpedPerSecond) {
            return false;
        }
        helpedInSecond++;
        return true;
    }

    private static Optional<Either<Failure, PlacementTarget>> refusal(ErrorCode code, String service) {
        return Optional.of(Either.left(Failure.of(code, service).withRetryAfter(RETRY_AFTER)));
    }

    /** The permit of a request that another host runs. */
    private final class HelperPermit implements Permit {
        private final String host;

        private HelperPermit(String host) {
            this.host = host;
        }

        @Override
        public void release(AttemptOutcome outcome, long serviceNanos) {
            helpers.ended(host);
            if (outcome == AttemptOutcome.FAILED) {
                helpers.rest(host, timer.nowNanos());
            }
        }

        @Override
        public void refused(Failure failure) {
            if (REASONS_TO_REST.contains(failure.code())) {
                helpers.rest(host, timer.nowNanos());
            }
        }
    }
}
