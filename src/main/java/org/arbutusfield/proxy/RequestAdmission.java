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

/**
 * The claim and the placements of one request: brings their results to the request's event loop, and gives back what
 * arrives after the request was given up on. Confined to that event loop.
 */
final class RequestAdmission {
    private static final Logger LOG = LogManager.getLogger(RequestAdmission.class);

    private final ProxyComponents wiring;
    private final RequestHead head;
    private final EventLoop loop;
    private final InetSocketAddress caller;
    private CompletableFuture<?> waitingFor;
    private boolean placing;
    private Optional<KeyClaim> ticket = Optional.empty();

    private RequestAdmission(ProxyComponents wiring, RequestHead head, EventLoop loop, InetSocketAddress caller) {
        this.wiring = wiring;
        this.head = head;
        this.loop = loop;
        this.caller = caller;
    }

    static RequestAdmission of(ProxyComponents wiring, RequestHead head, EventLoop loop, InetSocketAddress caller) {
        return new RequestAdmission(wiring, head, loop, caller);
    }

    /** True when the request has an idempotency key that this host must claim first. */
    boolean needsClaim() {
        boolean claimedBefore = head.hops() > 0 && wiring.peers().test(caller.getAddress());
        return head.key().isPresent() && !head.requestClass().repeatable() && !claimedBefore;
    }

    /** Claims the key; the taker learns of a failure, or nothing when the claim is held. */
    void claim(RequestBody body, Consumer<Optional<Failure>> taker) {
        CompletableFuture<Either<Failure, KeyClaim>> future = wiring.keys()
                .claim(
                        head.service().name(),
                        head.key().orElseThrow(),
                        head.requestId(),
                        RequestFingerprint.of(head, body));
        waitingFor = future;
        future.whenComplete((result, error) -> onLoop(() -> {
            if (waitingFor != future) {
                Optional.ofNullable(result).ifPresent(r -> r.peek(late -> late.complete(KeyOutcome.notRun())));
                return;
            }
            waitingFor = null;
            if (error != null) {
                LOG.error("event=key_guard_failed id={}", head.requestId(), error);
                taker.accept(Optional.of(
                        Failure.of(ErrorCode.CLAIM_UNAVAILABLE, head.service().name())));
                return;
            }
            result.peek(claimed -> ticket = Optional.of(claimed));
            taker.accept(result.fold(Optional::of, claimed -> Optional.empty()));
        }));
    }

    /** Seeks a place; the taker learns of it unless cancelled before. */
    void place(Duration remaining, Set<String> tried, Consumer<Either<Failure, PlacementTarget>> taker) {
        PlacementRequest facts = new PlacementRequest(
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
                head.objectKey());
        CompletableFuture<Either<Failure, PlacementTarget>> future =
                wiring.placement().place(facts);
        waitingFor = future;
        placing = true;
        future.whenComplete((result, error) -> onLoop(() -> {
            if (waitingFor != future) {
                Optional.ofNullable(result).ifPresent(r -> r.peek(RequestAdmission::giveBack));
                return;
            }
            waitingFor = null;
            taker.accept(error == null ? checked(result) : failed(error));
        }));
    }

    /** Waits for nothing any more; what comes yet is given back. */
    void cancel() {
        CompletableFuture<?> future = waitingFor;
        waitingFor = null;
        if (future != null && placing) {
            future.cancel(false);
        }
    }

    /** Tells the holder of the claim, if there is one, what became of the request. */
    void finish(KeyOutcome outcome) {
        ticket.ifPresent(claimed -> claimed.complete(outcome));
        ticket = Optional.empty();
    }

    private Either<Failure, PlacementTarget> checked(Either<Failure, PlacementTarget> result) {
        if (result.isRight() && result.get() instanceof PlacementTarget.HostTarget host && head.hops() > 0) {
            giveBack(host);
            return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, head.service().name(), "forwarded once already"));
        }
        return result;
    }

    private Either<Failure, PlacementTarget> failed(Throwable error) {
        LOG.error("event=placement_failed id={}", head.requestId(), error);
        return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, head.service().name(), "placement failed"));
    }

    private static void giveBack(PlacementTarget late) {
        late.permit().release(AttemptOutcome.CANCELLED, 0);
    }

    private void onLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }
}
