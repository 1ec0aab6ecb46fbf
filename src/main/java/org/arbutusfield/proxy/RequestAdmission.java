package org.arbutusfield.proxy;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.LogValue;
import org.arbutusfield.team.Team;

/**
 * Claims the idempotency key and obtains the placements of one request. Delivers the results on the request's event
 * loop, and releases results that arrive after the request was abandoned. Confined to that event loop.
 */
final class RequestAdmission {
    private static final Logger LOG = LogManager.getLogger(RequestAdmission.class);

    private final ProxyComponents components;
    private final RequestHead head;
    private final EventLoop loop;
    private final InetSocketAddress caller;
    private final RequestTeam team;
    private final RequestCount requestCount = RequestCount.none();
    private CompletableFuture<?> waitingFor;
    private boolean placementPending;
    private Optional<KeyClaim> heldClaim = Optional.empty();

    private RequestAdmission(ProxyComponents components, RequestHead head, CallerRequest caller) {
        this.components = components;
        this.head = head;
        this.team = RequestTeam.of(components, head);
        this.loop = caller.loop();
        this.caller = caller.remoteAddress();
    }

    static RequestAdmission of(ProxyComponents components, RequestHead head, CallerRequest caller) {
        return new RequestAdmission(components, head, caller);
    }

    /** The team of the request. */
    RequestTeam team() {
        return team;
    }

    /** The count of the request against its team's limit. */
    RequestCount requestCount() {
        return requestCount;
    }

    /** True if the request must be counted against its team's limit before it is placed. */
    boolean needsCount() {
        return !requestCount.taken() && team.limitedTeam().isPresent();
    }

    /**
     * Counts the request against its team's limit; the callback receives the failure, or empty once it is counted. A
     * count that arrives after {@link #cancel()} is given back.
     */
    void countAgainstLimit(Duration remaining, Consumer<Optional<Failure>> callback) {
        Team limited = team.limitedTeam().orElseThrow();
        CompletableFuture<Either<Failure, TeamLimiter.Use>> future =
                components.teamLimiter().acquire(limited, remaining);
        waitingFor = future;
        future.whenComplete((result, error) -> runOnLoop(() -> {
            if (waitingFor != future) {
                Optional.ofNullable(result).ifPresent(r -> r.peek(TeamLimiter.Use::giveBack));
                return;
            }
            waitingFor = null;
            if (error != null) {
                LOG.error("event=team_limiter_failed id={}", LogValue.of(head.requestId()), error);
                callback.accept(Optional.of(Failure.of(ErrorCode.TEAM_SHARE_UNAVAILABLE, limited.name())));
                return;
            }
            result.peek(requestCount::take);
            callback.accept(result.fold(Optional::of, use -> Optional.empty()));
        }));
    }

    /** True if the request has an idempotency key that this host must claim before placing it. */
    boolean needsClaim() {
        boolean claimedBefore = head.hops() > 0 && components.peers().test(caller.getAddress());
        return head.idempotencyKey().isPresent() && !head.requestClass().repeatable() && !claimedBefore;
    }

    /** Claims the idempotency key; the callback receives the failure, or empty once the claim is held. */
    void claim(RequestBody body, Consumer<Optional<Failure>> callback) {
        CompletableFuture<Either<Failure, KeyClaim>> future = components
                .idempotencyGuard()
                .claim(
                        head.service().name(),
                        head.idempotencyKey().orElseThrow(),
                        head.requestId(),
                        RequestFingerprint.of(head, body));
        waitingFor = future;
        future.whenComplete((result, error) -> runOnLoop(() -> {
            if (waitingFor != future) {
                Optional.ofNullable(result).ifPresent(r -> r.peek(late -> late.complete(KeyOutcome.notRun())));
                return;
            }
            waitingFor = null;
            if (error != null) {
                LOG.error("event=key_guard_failed id={}", LogValue.of(head.requestId()), error);
                callback.accept(Optional.of(
                        Failure.of(ErrorCode.CLAIM_UNAVAILABLE, head.service().name())));
                return;
            }
            result.peek(claimed -> heldClaim = Optional.of(claimed));
            callback.accept(result.fold(Optional::of, claimed -> Optional.empty()));
        }));
    }

    /** Requests a placement; the callback receives the result unless {@link #cancel()} is called first. */
    void place(Duration remaining, Set<String> tried, Consumer<Either<Failure, PlacementTarget>> callback) {
        PlacementRequest request = new PlacementRequest(
                head.requestId(),
                head.service(),
                head.requestClass(),
                head.method(),
                head.path(),
                remaining,
                caller,
                head.hops(),
                tried,
                head.route(),
                head.objectKey(),
                team.team());
        CompletableFuture<Either<Failure, PlacementTarget>> future =
                components.placement().place(request);
        waitingFor = future;
        placementPending = true;
        future.whenComplete((result, error) -> runOnLoop(() -> {
            if (waitingFor != future) {
                Optional.ofNullable(result).ifPresent(r -> r.peek(RequestAdmission::release));
                return;
            }
            waitingFor = null;
            callback.accept(error == null ? rejectSecondForward(result) : placementFailed(error));
        }));
    }

    /** Stops waiting; a result that still arrives is released. */
    void cancel() {
        CompletableFuture<?> future = waitingFor;
        waitingFor = null;
        if (future != null && placementPending) {
            future.cancel(false);
        }
    }

    /** Reports the outcome of the request to the claim, if one is held, and ends its count. */
    void finish(KeyOutcome outcome) {
        requestCount.finish();
        heldClaim.ifPresent(claimed -> claimed.complete(outcome));
        heldClaim = Optional.empty();
    }

    private Either<Failure, PlacementTarget> rejectSecondForward(Either<Failure, PlacementTarget> result) {
        if (result.isRight() && result.get() instanceof PlacementTarget.HostTarget host && head.hops() > 0) {
            release(host);
            return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, head.service().name(), "already forwarded once"));
        }
        return result;
    }

    private Either<Failure, PlacementTarget> placementFailed(Throwable error) {
        LOG.error("event=placement_failed id={}", LogValue.of(head.requestId()), error);
        return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, head.service().name(), "placement failed"));
    }

    private static void release(PlacementTarget target) {
        target.permit().release(AttemptOutcome.CANCELLED, 0);
    }

    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }
}
