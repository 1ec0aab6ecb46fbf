package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.soak.Violation.Promise;

/** What callers sent and upstreams saw, and which promises that broke. Thread-safe. */
final class SoakLedger {
    private static final Duration STABLE = Duration.ofSeconds(3);
    private static final Duration DRAINED_WITHIN = Duration.ofSeconds(2);
    private static final int MOST_TOLD = 20;

    private final Disruptions disruptions;
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, String> refused = new ConcurrentHashMap<>();
    private final Map<String, Long> drainedNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();

    private SoakLedger(Disruptions disruptions) {
        this.disruptions = disruptions;
    }

    static SoakLedger of(Disruptions disruptions) {
        return new SoakLedger(disruptions);
    }

    /**
     * A request of a caller.
     *
     * @param id its id
     * @param host name of the host that it was sent to
     * @param repeatable whether it may run more than once
     * @param atNanos when it was sent
     */
    record Sent(String id, String host, boolean repeatable, long atNanos) {}

    /** The body that answers a request; its length differs between requests. */
    static String answerBody(String id) {
        return ("answer to " + id + ';').repeat(1 + Math.floorMod(id.hashCode(), 50));
    }

    void sending(Sent request) {
        sent.put(request.id(), request);
    }

    /** Notes an answer that says that the request has not run. */
    void refused(String id, String detail) {
        refused.put(id, detail);
    }

    /** Notes that the store accepted that the upstream drains. */
    void drained(String upstream) {
        long now = System.nanoTime();
        if (disruptions.calm(Disruptions.STORE, STABLE, now, now)) {
            drainedNanos.put(upstream, now);
        }
    }

    /** Notes that a request reached an upstream, whether it runs or not. */
    void arrived(String id, String upstream) {
        Sent request = sent.get(id);
        Long drained = drainedNanos.get(upstream);
        long now = System.nanoTime();
        if (request == null || drained == null || now - drained < DRAINED_WITHIN.toNanos()) {
            return;
        }
        boolean bound = disruptions.calm(request.host(), STABLE, request.atNanos(), now)
                && disruptions.calm(Disruptions.STORE, STABLE, drained, now)
                && disruptions.calm(Disruptions.UPSTREAMS, STABLE, request.atNanos(), now);
        if (bound) {
            broken(
                    Promise.DRAINED,
                    id,
                    upstream + " " + TimeUnit.NANOSECONDS.toMillis(now - drained) + " ms after it drained");
        }
    }

    /** Notes that an upstream ran a request. */
    void ran(String id, String upstream) {
        Sent request = sent.get(id);
        if (request == null) {
            broken(Promise.ASKED_FOR, id, upstream);
            return;
        }
        int times = runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (times > 1 && !request.repeatable()) {
            broken(Promise.AT_MOST_ONCE, id, upstream + " run " + times);
        }
    }

    /** True when nothing but the given host's graceful stop disturbed a request. */
    boolean calmBut(String host, long fromNanos) {
        long now = System.nanoTime();
        return disruptions.calm(Disruptions.STORE, STABLE, fromNanos, now)
                && disruptions.calm(Disruptions.UPSTREAMS, STABLE, fromNanos, now)
                && disruptions.calm(host, STABLE, fromNanos, now);
    }

    void broken(Promise promise, String subject, String detail) {
        violations.add(new Violation(promise, subject, detail));
    }

    /** All broken promises, a bounded number of each; call it when nothing runs any more. */
    List<Violation> violations() {
        refused.forEach((id, detail) -> {
            if (runs.containsKey(id)) {
                broken(Promise.NOT_RUN, id, detail);
            }
        });
        return violations.stream().limit(MOST_TOLD).toList();
    }

    int requests() {
        return sent.size();
    }
}
