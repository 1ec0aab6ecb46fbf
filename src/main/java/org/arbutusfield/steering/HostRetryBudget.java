package org.arbutusfield.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RetryLimiter;
import org.arbutusfield.timer.TimerService;

/**
 * This host's part of the {@link SharedRetryBudget}, which limits the sum over all hosts.
 *
 * <p>Per service and sliding window, all hosts together may retry a fraction of their requests, plus a fixed number of
 * retries. Each host stays within the fraction of its own requests and an equal part of the fixed number, so the sum
 * holds without messages between hosts. The divisor is the {@link FleetSize}.
 *
 * <p>Not thread-safe; must be used from one thread.
 */
public final class HostRetryBudget implements RetryLimiter {
    /** Usable fraction of this host's part. The rest covers requests that other hosts count in a different window. */
    private static final double USABLE_FRACTION = 0.85;

    private final SharedRetryBudget budget;
    private final FleetSize fleetSize;
    private final TimerService timer;
    private final Map<String, SlidingWindowCounter> requests = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();

    private HostRetryBudget(SharedRetryBudget budget, FleetSize fleetSize, TimerService timer) {
        this.budget = budget;
        this.fleetSize = fleetSize;
        this.timer = timer;
    }

    /**
     * Creates a budget from which nothing has been used.
     *
     * @param budget the budget of all hosts together
     * @param hostCount supplies the number of hosts that this host knows
     * @param timer monotonic clock
     */
    public static HostRetryBudget create(SharedRetryBudget budget, IntSupplier hostCount, TimerService timer) {
        return new HostRetryBudget(budget, FleetSize.of(hostCount, budget.minHosts()), timer);
    }

    /** Returns the number of hosts among which the budget is divided. */
    FleetSize fleetSize() {
        return fleetSize;
    }

    /** Records a request of a caller, which adds to the budget. Must not be called for retries. */
    public void recordRequest(String service) {
        counter(requests, service).add(timer.nowNanos());
    }

    @Override
    public boolean tryAcquire(Service service) {
        long now = timer.nowNanos();
        SlidingWindowCounter used = counter(retries, service.name());
        double allowed = budget.ratio() * counter(requests, service.name()).total(now)
                + (double) budget.slack() / fleetSize.largest();
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
