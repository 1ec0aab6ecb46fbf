package org.arbutusfield.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RetryLimiter;
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
public final class HostRetryBudget implements RetryLimiter {
    /** Part of the share that is used; the rest covers requests counted in another window by others. */
    private static final double USABLE_FRACTION = 0.85;

    private final SharedRetryBudget budget;
    private final IntSupplier hostCount;
    private final TimerService timer;
    private final Map<String, SlidingWindowCounter> requests = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();
    private int maxHostsSeen;

    private HostRetryBudget(SharedRetryBudget budget, IntSupplier hostCount, TimerService timer) {
        this.budget = budget;
        this.hostCount = hostCount;
        this.timer = timer;
        maxHostsSeen = budget.minHosts();
    }

    /**
     * A share that is not used yet.
     *
     * @param budget the budget of all hosts together
     * @param hostCount how many hosts this host knows of
     * @param timer monotonic time
     */
    public static HostRetryBudget create(SharedRetryBudget budget, IntSupplier hostCount, TimerService timer) {
        return new HostRetryBudget(budget, hostCount, timer);
    }

    /** Notes a caller's request. */
    public void recordRequest(String service) {
        counter(requests, service).add(timer.nowNanos());
    }

    @Override
    public boolean tryAcquire(Service service) {
        maxHostsSeen = Math.max(maxHostsSeen, hostCount.getAsInt());
        long now = timer.nowNanos();
        SlidingWindowCounter used = counter(retries, service.name());
        double allowed =
                budget.ratio() * counter(requests, service.name()).total(now) + (double) budget.slack() / maxHostsSeen;
        if (used.total(now) + 1 > allowed * USABLE_FRACTION) {
            return false;
        }
        used.add(now);
        return true;
    }

    private SlidingWindowCounter counter(Map<String, SlidingWindowCounter> counters, String service) {
        return counters.computeIfAbsent(service, name -> SlidingWindowCounter.ofWindow(budget.window()));
    }
}
