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

/** Slots handed out by the region's broker. */
final class BrokerStrategy implements Strategy {
    private static final String KEY = "service/region/0";
    private static final long TICK_NANOS = 1_000_000;
    private static final long HEARTBEAT_NANOS = 25_000_000;
    private static final long VIEW_STAGGER_NANOS = 20_000_000;

    private final Site site;
    private final Map<String, BrokerHost> hosts = new TreeMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();

    private BrokerStrategy(Site site, BrokerSettings settings) {
        this.site = site;
        for (String name : site.hosts()) {
            hosts.put(name, BrokerHost.of(this, name, ClientSettings.defaults(), settings));
        }
        site.loop().every(TICK_NANOS, () -> hosts.values().forEach(BrokerHost::tick));
        site.loop().every(HEARTBEAT_NANOS, this::heartbeats);
    }

    static BrokerStrategy of(Site site, BrokerSettings settings) {
        return new BrokerStrategy(site, settings);
    }

    Site site() {
        return site;
    }

    @Override
    public void arrive(Job job, String host) {
        hosts.get(host).arrive(job);
    }

    @Override
    public String weakest(Site at) {
        return Rendezvous.owner(KEY, at.hosts()).orElseThrow();
    }

    @Override
    public void died(String host) {
        hosts.remove(host).die();
        Set<String> live = new TreeSet<>(hosts.keySet());
        eachView(Scenario.HEARTBEAT_LOSS_NANOS, to -> to.lost(host, live));
    }

    @Override
    public void paused(String host) {
        pausedUntil.put(host, site.loop().nowNanos() + Scenario.PAUSE_NANOS);
        Set<String> live = new TreeSet<>(hosts.keySet());
        live.remove(host);
        eachView(Scenario.HEARTBEAT_LOSS_NANOS, to -> to.lost(host, live));
        eachView(Scenario.PAUSE_NANOS, to -> to.see(Set.copyOf(hosts.keySet())));
    }

    /** Delivers a message after the delay between the hosts; the part that runs brokers may be paused. */
    void send(String from, String to, boolean toBroker, Consumer delivery) {
        if (!from.equals(to)) {
            site.tally().message();
        }
        long now = site.loop().nowNanos();
        long arrival = Math.max(now, pausedUntil.getOrDefault(from, 0L)) + site.delayNanos(from, to);
        if (toBroker) {
            arrival = Math.max(arrival, pausedUntil.getOrDefault(to, 0L));
        }
        site.loop().after(arrival - now, () -> {
            if (hosts.containsKey(to)) {
                delivery.accept(hosts.get(to));
            }
        });
    }

    boolean paused(String host, long nowNanos) {
        return pausedUntil.getOrDefault(host, 0L) > nowNanos;
    }

    static String key() {
        return KEY;
    }

    private void heartbeats() {
        long now = site.loop().nowNanos();
        for (BrokerHost from : hosts.values()) {
            if (paused(from.name(), now)) {
                continue;
            }
            for (BrokerHost to : hosts.values()) {
                site.loop().after(site.delayNanos(from.name(), to.name()), () -> to.heard(from.name()));
            }
        }
    }

    private void eachView(long delayNanos, Consumer change) {
        long delay = delayNanos;
        for (BrokerHost host : List.copyOf(hosts.values())) {
            site.loop().after(delay, () -> change.accept(host));
            delay += VIEW_STAGGER_NANOS;
        }
    }

    /** What happens at a host. */
    @FunctionalInterface
    interface Consumer {
        void accept(BrokerHost host);
    }
}
