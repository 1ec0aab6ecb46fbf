package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.Set;

/** One object of a plan: its home, its load, and when it was moved and used. Not thread-safe. */
final class PlannedObject {
    /** Weight of the latest period in the rate of requests. */
    private static final double RATE_SMOOTHING = 0.1;

    private final long key;
    private final LoadEstimate load = new LoadEstimate();
    private String upstream = "";
    private double requestsPerSecond = 1;
    private double busySeconds;
    private int requests;
    private boolean everReported;
    private boolean cold;
    private boolean moved;
    private long lastMovedNanos;
    private long lastUsedNanos;
    private long changeVersion;
    private Set<String> eligibleUpstreams = Set.of();

    PlannedObject(long key, long nowNanos) {
        this.key = key;
        lastMovedNanos = nowNanos;
    }

    long key() {
        return key;
    }

    /** Name of the home; empty before the first assignment. */
    String upstream() {
        return upstream;
    }

    LoadEstimate load() {
        return load;
    }

    /** Version of the plan in which the object got its home. */
    long changeVersion() {
        return changeVersion;
    }

    /** True from a move until the new home has completed a request. */
    boolean cold() {
        return cold;
    }

    /** First requests per second to expect at a new home: the rate of requests, and at most one. */
    double firstRequestRate() {
        return Math.min(1, requestsPerSecond);
    }

    boolean eligible(String name) {
        return eligibleUpstreams.contains(name);
    }

    /** Sets the home. */
    void assign(String home, long version, long nowNanos) {
        moved |= !upstream.isEmpty();
        cold = !upstream.isEmpty();
        upstream = home;
        changeVersion = version;
        lastMovedNanos = nowNanos;
    }

    /** Returns true when the home was assigned at least this long ago. */
    boolean settled(Duration cooldown, long nowNanos) {
        return nowNanos - lastMovedNanos >= cooldown.toNanos();
    }

    /** Returns true when the object was never moved from one upstream to another. */
    boolean neverMoved() {
        return !moved;
    }

    boolean unused(Duration expiry, long nowNanos) {
        return nowNanos - lastUsedNanos > expiry.toNanos();
    }

    void record(ObjectReport report, CandidateSet candidates, long nowNanos) {
        lastUsedNanos = nowNanos;
        busySeconds += report.busyMicros() / 1e6;
        requests += report.requests();
        eligibleUpstreams = candidates.names();
    }

    /**
     * Ends a period: adds the load that was reported in it. A period without a report counts as one without load once
     * the object has been reported, because else an object with rare requests would have the load of its requests.
     */
    void endPeriod(double seconds) {
        boolean reported = requests > 0;
        everReported |= reported;
        if (everReported) {
            load.add(busySeconds / seconds);
            requestsPerSecond += RATE_SMOOTHING * (requests / seconds - requestsPerSecond);
        }
        cold &= !reported;
        busySeconds = 0;
        requests = 0;
    }
}
