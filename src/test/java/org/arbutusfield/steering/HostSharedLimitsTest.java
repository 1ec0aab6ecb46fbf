package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.model.Service;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retries: a limit on the sum over all hosts, which no host can observe. */
class HostSharedLimitsTest {
    private static final Service DESK = new Service("desk", 0, 0, 0, List.of(), List.of());
    private static final Duration STEP = Duration.ofMillis(10);

    /**
     * All hosts attempt to retry every request for a minute; the sum of the retries stays within the budget in every
     * window.
     */
    @ParameterizedTest
    @CsvSource({"16, 5, 112", "20, 30, 120", "118, 2, 300"})
    void retriesStayWithinTheBudgetInEveryWindow(int hosts, int requestsPerSecond, int slack) {
        VirtualTimer timer = VirtualTimer.create();
        SharedRetryBudget shared = new SharedRetryBudget(0.2, Duration.ofSeconds(10), slack, 12);
        List<HostRetryBudget> limiters = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            limiters.add(HostRetryBudget.create(shared, () -> hosts, timer));
        }
        Random random = new Random(5);
        Deque<Long> retries = new ArrayDeque<>();
        Deque<Long> requests = new ArrayDeque<>();
        for (int step = 0; step < 6_000; step++) {
            timer.advance(STEP);
            for (HostRetryBudget limiter : limiters) {
                if (random.nextDouble() < requestsPerSecond * 0.01) {
                    limiter.recordRequest("desk");
                    requests.add(timer.nowNanos());
                    if (limiter.tryAcquire(DESK)) {
                        retries.add(timer.nowNanos());
                    }
                }
            }
            dropExpired(retries, timer);
            dropExpired(requests, timer);
            assertThat((double) retries.size()).isLessThanOrEqualTo(0.2 * requests.size() + slack);
        }
        assertThat(retries).isNotEmpty();
    }

    /** A partitioned host that sees no other host must not use the whole budget. */
    @Test
    void isolatedHostDoesNotUseTheShareOfOtherHosts() {
        VirtualTimer timer = VirtualTimer.create();
        HostRetryBudget limiter =
                HostRetryBudget.create(new SharedRetryBudget(0.2, Duration.ofSeconds(10), 120, 12), () -> 1, timer);
        int acquired = 0;
        while (limiter.tryAcquire(DESK)) {
            acquired++;
        }
        assertThat(acquired).isLessThanOrEqualTo(120 / 12);
    }

    /** Guards against a host that takes the fleet for smaller than it is while the others register again. */
    @Test
    void fleetSizeDoesNotShrinkWithTheListOfHosts() {
        AtomicInteger known = new AtomicInteger(20);
        FleetSize size = FleetSize.of(known::get, 12);
        size.update();
        known.set(1);
        assertThat(size.largest()).isEqualTo(20);
    }

    private static void dropExpired(Deque<Long> times, VirtualTimer timer) {
        while (!times.isEmpty()
                && timer.nowNanos() - times.peek() >= Duration.ofSeconds(10).toNanos()) {
            times.remove();
        }
    }
}
