package org.arbutusfield.lab.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.ClientSettings;
import org.arbutusfield.admission.Rendezvous;

/** Strategy in which one broker per region grants the slots of all servers. */
final class BrokerStrategy implements Strategy {
    private static final String GROUP_KEY = "service/region/0";
    private static final long TICK_INTERVAL_NANOS = 1_000_000;
    private static final long HEARTBEAT_INTERVAL_NANOS = 25_000_000;
    private static final long VIEW_STAGGER_NANOS = 20_000_000;

    private final SimulatedRegion region;
    private final Map<String, BrokerHost> hosts = new TreeMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();

    private BrokerStrategy(SimulatedRegion region, BrokerSettings settings) {
        this.region = region;
        for (String name : region.hosts()) {
            hosts.put(name, BrokerHost.of(this, name, ClientSettings.defaults(), settings));
        }
        region.loop().every(TICK_INTERVAL_NANOS, () -> hosts.values().forEach(BrokerHost::tick));
        region.loop().every(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
    }

    static BrokerStrategy of(SimulatedRegion region, BrokerSettings settings) {
        return new BrokerStrategy(region, settings);
    }

    SimulatedRegion region() {
        return region;
    }

    @Override
    public void arrive(Job job, String host) {
        hosts.get(host).arrive(job);
    }

    @Override
    public String faultTarget(SimulatedRegion target) {
        return Rendezvous.owner(GROUP_KEY, target.hosts()).orElseThrow();
    }

    @Override
    public void hostDied(String host) {
        hosts.remove(host).kill();
        Set<String> live = new TreeSet<>(hosts.keySet());
        forEachHost(Scenario.FAILURE_DETECTION_NANOS, to -> to.onHostLost(host, live));
    }

    @Override
    public void hostPaused(String host) {
        pausedUntil.put(host, region.loop().nowNanos() + Scenario.PAUSE_NANOS);
        Set<String> live = new TreeSet<>(hosts.keySet());
        live.remove(host);
        forEachHost(Scenario.FAILURE_DETECTION_NANOS, to -> to.onHostLost(host, live));
        forEachHost(Scenario.PAUSE_NANOS, to -> to.onMembershipChange(Set.copyOf(hosts.keySet())));
    }

    /**
     * Delivers a message after the delay between the hosts. A paused host sends its messages when the pause ends, and
     * its broker receives messages only then.
     */
    void send(String from, String to, boolean toBroker, HostAction delivery) {
        if (!from.equals(to)) {
            region.statistics().recordMessage();
        }
        long now = region.loop().nowNanos();
        long arrival = Math.max(now, pausedUntil.getOrDefault(from, 0L)) + region.delayNanos(from, to);
        if (toBroker) {
            arrival = Math.max(arrival, pausedUntil.getOrDefault(to, 0L));
        }
        region.loop().after(arrival - now, () -> {
            if (hosts.containsKey(to)) {
                delivery.accept(hosts.get(to));
            }
        });
    }

    boolean isPaused(String host, long nowNanos) {
        return pausedUntil.getOrDefault(host, 0L) > nowNanos;
    }

    static String groupKey() {
        return GROUP_KEY;
    }

    private void sendHeartbeats() {
        long now = region.loop().nowNanos();
        for (BrokerHost from : hosts.values()) {
            if (isPaused(from.name(), now)) {
                continue;
            }
            for (BrokerHost to : hosts.values()) {
                region.loop().after(region.delayNanos(from.name(), to.name()), () -> to.onHeartbeat(from.name()));
            }
        }
    }

    private void forEachHost(long delayNanos, HostAction action) {
        long delay = delayNanos;
        for (BrokerHost host : List.copyOf(hosts.values())) {
            region.loop().after(delay, () -> action.accept(host));
            delay += VIEW_STAGGER_NANOS;
        }
    }

    /** An action on a host. */
    @FunctionalInterface
    interface HostAction {
        void accept(BrokerHost host);
    }
}
