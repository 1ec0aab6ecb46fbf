package org.arbutusfield.reach;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.arbutusfield.state.HostEntry;

/**
 * Chooses the host through which a request is passed on: the less busy of two at random, as far as this host knows, in
 * its own region while that has hosts enough, else in all that the request may go to. A host that refused for want of
 * links or room is left out for a while.
 *
 * <p>Callers pass the current time. Not thread-safe.
 */
final class HelperHosts {
    private static final Duration REST = Duration.ofSeconds(1);
    /** Requests that this host has in progress at one helper, above which it asks hosts of other regions too. */
    private static final int BUSY = 8;

    private final String self;
    private final String region;
    private final RandomGenerator random;
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> restEndNanos = new HashMap<>();

    private HelperHosts(String self, String region, RandomGenerator random) {
        this.self = self;
        this.region = region;
        this.random = random;
    }

    static HelperHosts of(String self, String region, RandomGenerator random) {
        return new HelperHosts(self, region, random);
    }

    /**
     * Chooses a host.
     *
     * @param hosts all live hosts
     * @param tried names of hosts that have failed the request
     * @param regionAllowed regions other than this host's to which the request may go
     * @param nowNanos current monotonic time
     */
    Optional<HostEntry> choose(
            List<HostEntry> hosts, Set<String> tried, Predicate<String> regionAllowed, long nowNanos) {
        List<HostEntry> usable = hosts.stream()
                .filter(host -> !host.name().equals(self) && host.reachesUpstreams())
                .filter(host -> !tried.contains(host.name()) && !resting(host.name(), nowNanos))
                .toList();
        List<HostEntry> near =
                usable.stream().filter(host -> host.region().equals(region)).toList();
        Optional<HostEntry> nearest = lessBusyOfTwo(near);
        if (nearest.isPresent() && load(nearest.get()) < BUSY) {
            return nearest;
        }
        List<HostEntry> allowed = usable.stream()
                .filter(host -> host.region().equals(region) || regionAllowed.test(host.region()))
                .toList();
        return lessBusyOfTwo(allowed);
    }

    void started(String host) {
        inFlight.merge(host, 1, Integer::sum);
    }

    void ended(String host) {
        inFlight.computeIfPresent(host, (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Leaves a host out for a while that could not help. */
    void rest(String host, long nowNanos) {
        restEndNanos.values().removeIf(end -> end - nowNanos <= 0);
        restEndNanos.put(host, nowNanos + REST.toNanos());
    }

    private boolean resting(String host, long nowNanos) {
        Long end = restEndNanos.get(host);
        return end != null && end - nowNanos > 0;
    }

    private Optional<HostEntry> lessBusyOfTwo(List<HostEntry> hosts) {
        if (hosts.isEmpty()) {
            return Optional.empty();
        }
        HostEntry first = hosts.get(random.nextInt(hosts.size()));
        HostEntry second = hosts.get(random.nextInt(hosts.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
    }

    private int load(HostEntry host) {
        return inFlight.getOrDefault(host.name(), 0);
    }
}
