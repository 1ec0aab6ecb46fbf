package org.arbutusfield.dispatch;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.arbutusfield.admission.Priority;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.member.Member;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.Placement;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;

/**
 * Places a request on an upstream of this region through its broker, or otherwise at an entry host of another region.
 *
 * <p>Each region admits its own requests: a moved request goes to an entry host of the other region, which requests a
 * slot from that region's broker and refuses the request without running it if it gets none. A request that was already
 * forwarded by another host is never forwarded again. Each move first takes a permit under the cap on shifted traffic.
 */
public final class RegionalPlacement implements Placement {
    private final HostIdentity self;
    private final AdmissionService admissionService;
    private final HostShiftLimiter shiftLimiter;
    private final RetryBudgets retries;
    private final Supplier<Configuration> configuration;
    private final Supplier<List<Member>> liveHosts;
    private final AtomicLong sequence = new AtomicLong();

    private RegionalPlacement(
            HostIdentity self,
            AdmissionService admissionService,
            HostShiftLimiter shiftLimiter,
            RetryBudgets retries,
            Supplier<Configuration> configuration,
            Supplier<List<Member>> liveHosts) {
        this.self = self;
        this.admissionService = admissionService;
        this.shiftLimiter = shiftLimiter;
        this.retries = retries;
        this.configuration = configuration;
        this.liveHosts = liveHosts;
    }

    /**
     * Creates the placement of a host.
     *
     * @param self this host
     * @param admissionService requests slots of this region
     * @param shiftLimiter enforces the caps on moved requests
     * @param retries records each first attempt
     * @param configuration supplies the configuration in force
     * @param liveHosts supplies the live hosts of all regions
     */
    static RegionalPlacement of(
            HostIdentity self,
            AdmissionService admissionService,
            HostShiftLimiter shiftLimiter,
            RetryBudgets retries,
            Supplier<Configuration> configuration,
            Supplier<List<Member>> liveHosts) {
        return new RegionalPlacement(self, admissionService, shiftLimiter, retries, configuration, liveHosts);
    }

    @Override
    public CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest request) {
        boolean firstAttempt = request.tried().isEmpty();
        if (firstAttempt) {
            retries.recordFirstAttempt(request.service().name());
        }
        if (firstAttempt && request.hops() == 0) {
            shiftLimiter.countSeen(request.service().name(), self.region());
        }
        CompletableFuture<Either<Failure, PlacementTarget>> result = new CompletableFuture<>();
        SlotRequest slotRequest = slotRequest(request);
        admissionService
                .requestSlot(slotRequest)
                .whenComplete(Handled.by(
                        slotResult -> {
                            Either<Failure, PlacementTarget> placed = slotResult.fold(
                                    failure -> placeInOtherRegion(request, failure),
                                    upstream -> placeAtUpstream(request, slotRequest.requestId(), upstream));
                            if (!result.complete(placed) && placed.isRight()) {
                                placed.get().permit().release(AttemptOutcome.CANCELLED, 0);
                            }
                        },
                        result::completeExceptionally));
        result.whenComplete((placed, error) -> {
            if (result.isCancelled()) {
                admissionService.cancelRequest(request.service().name(), slotRequest.requestId());
            }
        });
        return result;
    }

    private SlotRequest slotRequest(PlacementRequest request) {
        return new SlotRequest(
                self.name() + "/" + self.incarnation() + "/" + sequence.incrementAndGet(),
                self.name(),
                self.incarnation(),
                self.failureDomain(),
                request.service().name(),
                request.requestClass().name(),
                Priority.of(request.requestClass()),
                request.remaining().toNanos());
    }

    private Either<Failure, PlacementTarget> placeAtUpstream(PlacementRequest request, String slotId, String name) {
        String service = request.service().name();
        Permit permit = releaseOnce(
                (outcome, nanos) -> admissionService.releaseSlot(service, slotId, slotOutcome(outcome), nanos));
        Optional<Upstream> upstream =
                configuration.get().find(Kind.UPSTREAM, name).map(Upstream.class::cast);
        if (upstream.isEmpty()) {
            permit.release(AttemptOutcome.CANCELLED, 0);
            return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, service));
        }
        return Either.right(new PlacementTarget.UpstreamTarget(upstream.get(), permit));
    }

    private Either<Failure, PlacementTarget> placeInOtherRegion(PlacementRequest request, Failure refusal) {
        if (request.hops() > 0 || !mayMove(refusal.code())) {
            return Either.left(refusal);
        }
        String service = request.service().name();
        for (MoveRule rule : moveRules(service)) {
            Optional<Member> host = hostInUntriedRegion(rule.to(), request);
            if (host.isEmpty()) {
                continue;
            }
            Either<Failure, Permit> permit = shiftLimiter.take(service, self.region(), rule.to());
            if (permit.isRight()) {
                return Either.right(atHost(host.get(), releaseOnce(permit.get())));
            }
        }
        return Either.left(refusal);
    }

    private List<MoveRule> moveRules(String service) {
        return configuration.get().items(MoveRule.class).stream()
                .filter(rule -> rule.service().equals(service) && rule.from().equals(self.region()))
                .sorted(Comparator.comparingInt(MoveRule::preference).thenComparing(MoveRule::to))
                .toList();
    }

    /** A live host of the region, chosen by the request's id; empty if any host of the region was already tried. */
    private Optional<Member> hostInUntriedRegion(String region, PlacementRequest request) {
        List<Member> hosts = liveHosts.get().stream()
                .filter(member -> member.region().equals(region))
                .toList();
        boolean triedThere = hosts.stream().anyMatch(m -> request.tried().contains(m.name()));
        if (triedThere || hosts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(hosts.get(Math.floorMod(request.requestId().hashCode(), hosts.size())));
    }

    private static PlacementTarget atHost(Member host, Permit permit) {
        return new PlacementTarget.HostTarget(
                host.name(), new InetSocketAddress(host.callerHost(), host.callerPort()), permit);
    }

    private static boolean mayMove(ErrorCode code) {
        return switch (code) {
            case OVERLOADED, DEADLINE_UNREACHABLE, NO_UPSTREAM -> true;
            default -> false;
        };
    }

    private static SlotRelease.Outcome slotOutcome(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> SlotRelease.Outcome.COMPLETED;
            case SHED -> SlotRelease.Outcome.SHED;
            case FAILED -> SlotRelease.Outcome.FAILED;
            case CANCELLED -> SlotRelease.Outcome.CANCELLED;
        };
    }

    private static Permit releaseOnce(Permit permit) {
        AtomicBoolean unreleased = new AtomicBoolean(true);
        return (outcome, nanos) -> {
            if (unreleased.compareAndSet(true, false)) {
                permit.release(outcome, nanos);
            }
        };
    }
}
