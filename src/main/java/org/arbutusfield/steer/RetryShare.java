package org.arbutusfield.steer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RetryPermit;
import org.arbutusfield.timer.TimerService;

/**
 * This host's share of the budget for repeated requests, which is a sum over all hosts.
 *
 * <p>Per service and sliding window, all hosts together may send a fraction of the requests again, and a fixed number
 * besides. Each host keeps to the fraction of its own requests and to an equal part of the fixed number, so the sum
 * holds without a message between hosts. The number of hosts used is the largest that this host has seen, because a
 * host that is cut off sees fewer than there are.
 *
 * <p>Not thread-safe; its owner calls it on one thread.
 */
public final class RetryShare implements RetryPermit {
    /** Part of the share that is used; the rest covers requests counted in another window by others. */
    private static final double USED = 0.85;

    private final RetryBounds bounds;
    private final IntSupplier hosts;
    private final TimerService timer;
    private final Map<String, SlidingCount> requests = new HashMap<>();
    private final Map<String, SlidingCount> repeats = new HashMap<>();
    private int mostHosts;

    private RetryShare(RetryBounds bounds, IntSupplier hosts, TimerService timer) {
        this.bounds = bounds;
        this.hosts = hosts;
        this.timer = timer;
        mostHosts = bounds.leastHosts();
    }

    /**
     * A share that is not used yet.
     *
     * @param bounds the budget of all hosts together
     * @param hosts how many hosts this host knows of
     * @param timer monotonic time
     */
    public static RetryShare create(RetryBounds bounds, IntSupplier hosts, TimerService timer) {
        return new RetryShare(bounds, hosts, timer);
    }

    /** Notes a caller's request. */
    public void requested(String service) {
        count(requests, service).add(timer.nowNanos());
    }

    @Override
    public boolean tryAcquire(Service service) {
        mostHosts = Math.max(mostHosts, hosts.getAsInt());
        long now = timer.nowNanos();
        SlidingCount spent = count(repeats, service.name());
        double allowed =
                bounds.ratio() * count(requests, service.name()).total(now) + (double) bounds.slack() / mostHosts;
        if (spent.total(now) + 1 > allowed * USED) {
            return false;
        }
        spent.add(now);
        return true;
    }

    private SlidingCount count(Map<String, SlidingCount> counts, String service) {
        return counts.computeIfAbsent(service, name -> SlidingCount.over(bounds.window()));
    }
}
