package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.soak.Violation.Guarantee;

/** Records what callers sent and what upstreams saw, and collects violated guarantees. Thread-safe. */
final class SoakChecker {
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);
    private static final int CRASHES_BEFORE_KNOWN = 3;
    private static final int TOLERATED_LATE_RUNS = 3;
    private static final int MAX_REPORTED = 20;

    private final Disruptions disruptions;
    private final Map<String, SentRequest> sentRequests = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, String> refusedRequests = new ConcurrentHashMap<>();
    private final Map<String, Long> drainingSinceNanos = new ConcurrentHashMap<>();
    /** When a request that ends upstreams first reached each one, in monotonic nanoseconds. */
    private final Map<String, Long> crashed = new HashMap<>();

    private final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();

    private int lateCrashingRuns;

    private SoakChecker(Disruptions disruptions) {
        this.disruptions = disruptions;
    }

    static SoakChecker of(Disruptions disruptions) {
        return new SoakChecker(disruptions);
    }

    /**
     * A request of a caller.
     *
     * @param id its id
     * @param host name of the host that it was sent to
     * @param repeatable whether it may run more than once
     * @param sentNanos monotonic time at which it was sent
     */
    record SentRequest(String id, String host, boolean repeatable, long sentNanos) {}

    /** Returns the body of the response to a request; its length differs between requests. */
    static String responseBody(String id) {
        return ("answer to " + id + ';').repeat(1 + Math.floorMod(id.hashCode(), 50));
    }

    void recordSent(SentRequest request) {
        sentRequests.put(request.id(), request);
    }

    /** Records a response that says that the request was not run. */
    void recordRefused(String id, String detail) {
        refusedRequests.put(id, detail);
    }

    /** Records that the store accepted that the upstream drains; has no effect if the store was disrupted recently. */
    void recordDraining(String upstream) {
        long now = System.nanoTime();
        if (disruptions.undisturbed(Disruptions.STORE, SETTLING_TIME, now, now)) {
            drainingSinceNanos.put(upstream, now);
        }
    }

    /** Records that a request reached an upstream, whether it runs or not. */
    void recordArrival(String id, String upstream) {
        SentRequest request = sentRequests.get(id);
        Long drainingSince = drainingSinceNanos.get(upstream);
        long now = System.nanoTime();
        if (request == null || drainingSince == null || now - drainingSince < DRAIN_LIMIT.toNanos()) {
            return;
        }
        boolean mustBeDrained = disruptions.undisturbed(request.host(), SETTLING_TIME, request.sentNanos(), now)
                && disruptions.undisturbed(Disruptions.STORE, SETTLING_TIME, drainingSince, now)
                && disruptions.undisturbed(Disruptions.UPSTREAMS, SETTLING_TIME, request.sentNanos(), now);
        if (mustBeDrained) {
            recordViolation(
                    Guarantee.DRAINED,
                    id,
                    upstream + " " + TimeUnit.NANOSECONDS.toMillis(now - drainingSince)
                            + " ms after it began to drain");
        }
    }

    /** Records that a request that ends upstreams has reached one, and will end it. */
    synchronized void recordCrashingRun(String id, String upstream) {
        SentRequest request = sentRequests.get(id);
        long now = System.nanoTime();
        crashed.putIfAbsent(upstream, now);
        boolean known = crashed.size() > CRASHES_BEFORE_KNOWN
                && request.sentNanos() - thirdCrashNanos() > SETTLING_TIME.toNanos();
        if (!known || !disruptions.undisturbed(request.host(), SETTLING_TIME, request.sentNanos(), now)) {
            return;
        }
        lateCrashingRuns++;
        if (lateCrashingRuns > TOLERATED_LATE_RUNS) {
            recordViolation(Guarantee.CRASHES_CONTAINED, id, upstream + " from " + request.host());
        }
    }

    private long thirdCrashNanos() {
        return crashed.values().stream()
                .sorted()
                .skip(CRASHES_BEFORE_KNOWN - 1)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the number of upstreams that were ended by a request. */
    synchronized int crashes() {
        return crashed.size();
    }

    /** Records that an upstream ran a request. */
    void recordRun(String id, String upstream) {
        SentRequest request = sentRequests.get(id);
        if (request == null) {
            recordViolation(Guarantee.ASKED_FOR, id, upstream);
            return;
        }
        int runCount = runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (runCount > 1 && !request.repeatable()) {
            recordViolation(Guarantee.AT_MOST_ONCE, id, upstream + " run " + runCount);
        }
    }

    /**
     * True if neither the store nor the upstreams nor the host was disrupted since the time. A graceful stop of the
     * host is not a disruption.
     */
    boolean undisturbedSince(String host, long fromNanos) {
        long now = System.nanoTime();
        return disruptions.undisturbed(Disruptions.STORE, SETTLING_TIME, fromNanos, now)
                && disruptions.undisturbed(Disruptions.UPSTREAMS, SETTLING_TIME, fromNanos, now)
                && disruptions.undisturbed(host, SETTLING_TIME, fromNanos, now);
    }

    void recordViolation(Guarantee guarantee, String subject, String detail) {
        violations.add(new Violation(guarantee, subject, detail));
    }

    /** Returns the first violations, up to a limit. Call it only after all requests have ended. */
    List<Violation> violations() {
        refusedRequests.forEach((id, detail) -> {
            if (runs.containsKey(id)) {
                recordViolation(Guarantee.NOT_RUN, id, detail);
            }
        });
        return violations.stream().limit(MAX_REPORTED).toList();
    }

    int requests() {
        return sentRequests.size();
    }
}
