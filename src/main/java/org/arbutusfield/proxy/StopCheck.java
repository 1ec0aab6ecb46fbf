package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.LogValue;

/**
 * Decides whether one request may still be sent to an upstream while its host stops.
 *
 * <p>Problem: a request that is sent shortly before the host ends gets an answer that says nothing of its outcome. One
 * that wasn't sent can be refused with a statement that is true, and its caller finds another host at once.
 *
 * <p>Idea: a request is sent only if it is likely to be answered while the host still runs: its own deadline ends
 * before the host does, or responses of its class have recently taken less than the time left. Requests that this host
 * already has at the same upstream are served first, as many at a time as the upstream has slots.
 *
 * <p>Invariants: without a stop nothing is refused. A request that is refused has not been sent. A class of which no
 * recent response is known is expected to take as long as its deadline allows.
 *
 * <p>Example: bookings recently took up to 0.8 s, and the host ends in 2 s. A booking may be sent, since twice 0.8 s
 * are left; if the host has 20 requests at an upstream of 10 slots, it is refused there. From 1.6 s before the end on,
 * all bookings are refused, also those whose bodies are still arriving.
 *
 * <p>Confined to the request's event loop.
 */
final class StopCheck {
    private static final Logger LOG = LogManager.getLogger(StopCheck.class);
    /** How much longer than the slowest recent response the next one may take, as a factor. */
    private static final double REPEATABLE_MARGIN = 1.25;
    /** The same for requests whose callers can't send them again if their outcome is unknown. */
    private static final double NON_REPEATABLE_MARGIN = 2;

    /** Other hosts take the request at once. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(100);

    /** Longest round trip between hosts. */
    private static final Duration ROUND_TRIP = Duration.ofMillis(150);

    private static final int MIN_DEADLINE_PARTS = 5;

    private final ProxyContext context;
    private final RequestHead head;
    private final ExchangeDeadline deadline;

    private StopCheck(ProxyContext context, RequestHead head, ExchangeDeadline deadline) {
        this.context = context;
        this.head = head;
        this.deadline = deadline;
    }

    /** Creates the check of one request, which ends at the deadline. */
    static StopCheck of(ProxyContext context, RequestHead head, ExchangeDeadline deadline) {
        return new StopCheck(context, head, deadline);
    }

    /** Returns the refusal of a request that is not likely to be answered in time by any upstream. */
    Optional<Failure> refusal() {
        return context.stop().flatMap(stop -> refusal(stop, 1));
    }

    /** Returns the refusal of a request that is not likely to be answered in time by the target of an attempt. */
    Optional<Failure> refusalAt(Attempt attempt) {
        return context.stop().flatMap(stop -> refusal(stop, attempt.turnsAtTarget()));
    }

    /**
     * Sets the timer of a request that has not been sent: to its deadline or, while the host stops, to the last time at
     * which it may be sent.
     */
    void awaitLatestStart() {
        Optional<HostStop> stop = context.stop();
        if (stop.isEmpty() || deadline.endsBefore(stop.get())) {
            deadline.awaitEndLess(reserveForAnswer());
            return;
        }
        deadline.awaitUntil(stop.get().endNanos() - expectedTime(1).toNanos());
    }

    /** Returns true once the request is too late to be sent, whether or not the host stops. */
    boolean latestStartPassed() {
        return deadline.passedLess(reserveForAnswer());
    }

    /**
     * Returns how long before its deadline a request that wasn't sent is refused. The deadline that another host
     * forwards ends later here than there, by the time that the request took, and the refusal takes as long again; an
     * answer that arrives late is reported as an unknown outcome by that host.
     */
    private Duration reserveForAnswer() {
        if (head.hops() == 0) {
            return Duration.ZERO;
        }
        Duration part = head.deadline().dividedBy(MIN_DEADLINE_PARTS);
        return part.compareTo(ROUND_TRIP) < 0 ? part : ROUND_TRIP;
    }

    private Optional<Failure> refusal(HostStop stop, int turns) {
        if (deadline.endsBefore(stop)) {
            return Optional.empty();
        }
        Duration left = stop.remaining();
        Duration expected = expectedTime(turns);
        if (expected.compareTo(left) < 0) {
            return Optional.empty();
        }
        LOG.info(
                "event=stop_refused id={} left_ms={} expected_ms={} turns={}",
                LogValue.of(head.requestId()),
                left.toMillis(),
                expected.toMillis(),
                turns);
        return Optional.of(
                Failure.of(ErrorCode.HOST_LEAVING, head.service().name()).withRetryAfter(RETRY_AFTER));
    }

    /** Returns how long a request that waits for some turns at its upstream may take from now on. */
    private Duration expectedTime(int turns) {
        double margin = head.requestClass().repeatable() ? REPEATABLE_MARGIN : NON_REPEATABLE_MARGIN;
        return context.completionTimes()
                .slowest(head, System.nanoTime())
                .map(slowest -> Duration.ofNanos((long) (slowest.toNanos() * margin * turns)))
                .orElseGet(head::deadline);
    }

    /** Counts a request that the stop ends although it had been sent. */
    void countIfCut() {
        if (deadline.passed() && deadline.endsWithHost()) {
            context.cutByStop().incrementAndGet();
        }
    }
}
