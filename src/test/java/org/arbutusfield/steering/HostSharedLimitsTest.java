package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits on the sum over all hosts, which no host can observe: retries, and requests to a cold upstream. */
class HostSharedLimitsTest {
    private static final Service DESK = new Service("desk", 0, 0, 0, List.of(), List.of());
    private static final Duration STEP = Duration.ofMillis(10);

    private static List<HostEntry> hosts(int count) {
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new HostEntry("host-" + i, "gulf", "gulf-a", "127.0.0.1:1", "127.0.0.1:2", 420));
        }
        return hosts;
    }

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

    /**
     * All hosts send to one cold upstream as often as they may; in every second the sum stays within the rate and its
     * tolerance.
     */
    @ParameterizedTest
    @CsvSource({"16, 2.6", "2, 2.6", "118, 2.6", "20, 6.0", "16, 0.5"})
    void requestsToAColdUpstreamStayWithinItsRate(int count, double perSecond) {
        List<HostEntry> hosts = hosts(count);
        Upstream model = new Upstream("u-1", "desk", "gulf-a", "127.0.0.1", 9000, 3, 100);
        LiveUpstream upstream = new LiveUpstream(model, "gulf", Long.MAX_VALUE, 0, 1, WeightedRendezvous.hash("u-1"));
        List<ColdUpstreamLimiter> limiters =
                hosts.stream().map(host -> ColdUpstreamLimiter.of(host.name())).toList();
        Deque<Long> sent = new ArrayDeque<>();
        int total = 0;
        for (long now = 0; now < 10_000_000_000L; now += 10_000_000L) {
            for (ColdUpstreamLimiter limiter : limiters) {
                if (limiter.allows(upstream, perSecond, hosts, now)) {
                    limiter.recordSent(upstream, perSecond, hosts, now);
                    sent.add(now);
                    total++;
                }
            }
            while (!sent.isEmpty() && now - sent.peek() >= 1_000_000_000L) {
                sent.remove();
            }
            assertThat((double) sent.size()).isLessThanOrEqualTo(perSecond * 1.5 + 5);
        }
        assertThat((double) total).isBetween(perSecond * 5, perSecond * 10 + 3);
    }

    /** Each half of the hosts knows only its own hosts, and both send; the sum still stays within the bound. */
    @Test
    void partitionedHostsStayWithinTheBoundOfAColdUpstream() {
        List<HostEntry> all = hosts(16);
        Upstream model = new Upstream("u-1", "desk", "gulf-a", "127.0.0.1", 9000, 3, 100);
        LiveUpstream upstream = new LiveUpstream(model, "gulf", Long.MAX_VALUE, 0, 1, WeightedRendezvous.hash("u-1"));
        int allowedAtOnce = 0;
        for (int i = 0; i < all.size(); i++) {
            List<HostEntry> half = i < 8 ? all.subList(0, 8) : all.subList(8, 16);
            if (ColdUpstreamLimiter.of(all.get(i).name()).allows(upstream, 2.6, half, 0)) {
                allowedAtOnce++;
            }
        }
        assertThat(allowedAtOnce).isLessThanOrEqualTo(8);
    }

    private static void dropExpired(Deque<Long> times, VirtualTimer timer) {
        while (!times.isEmpty()
                && timer.nowNanos() - times.peek() >= Duration.ofSeconds(10).toNanos()) {
            times.remove();
        }
    }
}
