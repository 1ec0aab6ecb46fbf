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
 * Places a request on a server of this region through its broker, and else at an entry host of another region.
 *
 * <p>Every region admits its own work: a request that is moved goes to one of the other region's entry hosts, which
 * asks that region's broker and refuses, not run, when there is no room. A request that another host forwarded is never
 * forwarded again. Each move takes a permit under the cap on shifts first.
 */
public final class RegionalPlacement implements Placement {
    private final HostIdentity self;
    private final AdmissionService admissionService;
    private final HostShiftLimiter shiftLimiter;
    private final RetryBudgets retries;
    private final Supplier<Configuration> running;
    private final Supplier<List<Member>> alive;
    private final AtomicLong sequence = new AtomicLong();

    private RegionalPlacement(
            HostIdentity self,
            AdmissionService admissionService,
            HostShiftLimiter shiftLimiter,
            RetryBudgets retries,
            Supplier<Configuration> running,
            Supplier<List<Member>> alive) {
        this.self = self;
        this.admissionService = admissionService;
        this.shiftLimiter = shiftLimiter;
        this.retries = retries;
        this.running = running;
        this.alive = alive;
    }

    /**
     * A placement for a host.
     *
     * @param self this host
     * @param admissionService asks for slots of this region
     * @param retries told of each first attempt
     * @param shiftLimiter counts moved requests against the caps
     * @param running the configuration in force
     * @param alive the live hosts of all regions
     */
    static RegionalPlacement of(
            HostIdentity self,
            AdmissionService admissionService,
            HostShiftLimiter shiftLimiter,
            RetryBudgets retries,
            Supplier<Configuration> running,
            Supplier<List<Member>> alive) {
        return new RegionalPlacement(self, admissionService, shiftLimiter, retries, running, alive);
    }

    @Override
    public CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest facts) {
        boolean first = facts.tried().isEmpty();
        if (first) {
            retries.recordFirstAttempt(facts.service().name());
        }
        if (first && facts.hops() == 0) {
            shiftLimiter.countSeen(facts.service().name(), self.region());
        }
        CompletableFuture<Either<Failure, PlacementTarget>> result = new CompletableFuture<>();
        SlotRequest request = question(facts);
        admissionService.ask(request).thenAccept(answer -> {
            Either<Failure, PlacementTarget> placed = answer.fold(
                    failure -> elsewhere(facts, failure), upstream -> here(facts, request.requestId(), upstream));
            if (!result.complete(placed) && placed.isRight()) {
                placed.get().permit().release(AttemptOutcome.CANCELLED, 0);
            }
        });
        result.whenComplete((placed, error) -> {
            if (result.isCancelled()) {
                admissionService.abandon(facts.service().name(), request.requestId());
            }
        });
        return result;
    }

    private SlotRequest question(PlacementRequest facts) {
        return new SlotRequest(
                self.name() + "/" + self.incarnation() + "/" + sequence.incrementAndGet(),
                self.name(),
                self.incarnation(),
                self.failureDomain(),
                facts.service().name(),
                facts.requestClass().name(),
                Priority.of(facts.requestClass()),
                facts.remaining().toNanos());
    }

    private Either<Failure, PlacementTarget> here(PlacementRequest facts, String slotId, String name) {
        String service = facts.service().name();
        Permit permit =
                once((outcome, nanos) -> admissionService.finished(service, slotId, slotOutcome(outcome), nanos));
        Optional<Upstream> upstream = running.get().find(Kind.UPSTREAM, name).map(Upstream.class::cast);
        if (upstream.isEmpty()) {
            permit.release(AttemptOutcome.CANCELLED, 0);
            return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, service));
        }
        return Either.right(new PlacementTarget.UpstreamTarget(upstream.get(), permit));
    }

    private Either<Failure, PlacementTarget> elsewhere(PlacementRequest facts, Failure refusal) {
        if (facts.hops() > 0 || !movable(refusal.code())) {
            return Either.left(refusal);
        }
        String service = facts.service().name();
        for (MoveRule rule : rules(service)) {
            Optional<Member> host = host(rule.to(), facts);
            if (host.isEmpty()) {
                continue;
            }
            Either<Failure, Permit> permit = shiftLimiter.take(service, self.region(), rule.to());
            if (permit.isRight()) {
                return Either.right(at(host.get(), once(permit.get())));
            }
        }
        return Either.left(refusal);
    }

    private List<MoveRule> rules(String service) {
        return running.get().items(MoveRule.class).stream()
                .filter(rule -> rule.service().equals(service) && rule.from().equals(self.region()))
                .sorted(Comparator.comparingInt(MoveRule::preference).thenComparing(MoveRule::to))
                .toList();
    }

    /** A live host of the region that was not tried yet, spread by request. */
    private Optional<Member> host(String region, PlacementRequest facts) {
        List<Member> hosts = alive.get().stream()
                .filter(member -> member.region().equals(region))
                .toList();
        boolean triedThere = hosts.stream().anyMatch(m -> facts.tried().contains(m.name()));
        if (triedThere || hosts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(hosts.get(Math.floorMod(facts.requestId().hashCode(), hosts.size())));
    }

    private static PlacementTarget at(Member host, Permit permit) {
        return new PlacementTarget.HostTarget(
                host.name(), new InetSocketAddress(host.callerHost(), host.callerPort()), permit);
    }

    private static boolean movable(ErrorCode code) {
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

    private static Permit once(Permit permit) {
        AtomicBoolean held = new AtomicBoolean(true);
        return (outcome, nanos) -> {
            if (held.compareAndSet(true, false)) {
                permit.release(outcome, nanos);
            }
        };
    }
}
