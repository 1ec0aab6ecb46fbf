package org.arbutusfield.lab.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.arbutusfield.admission.SlotRelease.Outcome;

/** Each host picks a server on its own; a job that was shed is tried again after a short time until its deadline. */
final class PickStrategy implements Strategy {
    private static final long MIN_BACKOFF_NANOS = 2_000_000;
    private static final long MAX_BACKOFF_NANOS = 10_000_000;

    private final Site site;
    private final SplittableRandom random;
    private final Function<String, SimulatedServer> pick;
    private final Map<String, Integer> reported = new HashMap<>();
    private final Map<String, Integer> own = new HashMap<>();
    private final Set<String> dead = new HashSet<>();

    private PickStrategy(
            Site site, SplittableRandom random, Function<PickStrategy, Function<String, SimulatedServer>> picker) {
        this.site = site;
        this.random = random;
        this.pick = picker.apply(this);
        site.loop().every(site.scenario().reportLagNanos(), this::report);
    }

    static PickStrategy random(Site site, SplittableRandom random) {
        return new PickStrategy(site, random, self -> host -> self.any());
    }

    static PickStrategy leastLoaded(Site site, SplittableRandom random) {
        return new PickStrategy(
                site, random, self -> host -> self.least(self.site.servers(), s -> self.load(s.name())));
    }

    static PickStrategy twoChoices(Site site, SplittableRandom random) {
        return new PickStrategy(
                site, random, self -> host -> self.least(List.of(self.any(), self.any()), s -> self.load(s.name())));
    }

    static PickStrategy ownInFlight(Site site, SplittableRandom random) {
        return new PickStrategy(
                site,
                random,
                self -> host -> self.least(self.site.servers(), s -> self.own.getOrDefault(host + s.name(), 0)));
    }

    @Override
    public void arrive(Job job, String host) {
        attempt(job, host);
    }

    @Override
    public void died(String host) {
        dead.add(host);
    }

    private void attempt(Job job, String host) {
        if (dead.contains(host)) {
            site.tally().lost(site.loop().nowNanos());
            return;
        }
        if (site.loop().nowNanos() >= job.deadlineNanos()) {
            site.tally().refused(site.loop().nowNanos());
            return;
        }
        SimulatedServer server = pick.apply(host);
        long delay = site.delayNanos(host, server);
        own.merge(host + server.name(), 1, Integer::sum);
        site.loop()
                .after(
                        delay,
                        () -> server.run(
                                job,
                                (outcome, nanos) -> site.loop().after(delay, () -> {
                                    own.merge(host + server.name(), -1, Integer::sum);
                                    finish(job, host, outcome);
                                })));
    }

    private void finish(Job job, String host, Outcome outcome) {
        long now = site.loop().nowNanos();
        if (dead.contains(host)) {
            site.tally().lost(now);
        } else if (outcome == Outcome.COMPLETED) {
            site.tally().completed(job, now);
        } else if (outcome == Outcome.CANCELLED) {
            site.tally().late(now);
        } else {
            site.loop().after(random.nextLong(MIN_BACKOFF_NANOS, MAX_BACKOFF_NANOS), () -> attempt(job, host));
        }
    }

    private void report() {
        for (SimulatedServer server : site.servers()) {
            int running = server.running();
            for (int i = 0; i < site.hosts().size(); i++) {
                site.tally().message();
            }
            site.loop().after(site.scenario().reportLagNanos(), () -> reported.put(server.name(), running));
        }
    }

    private SimulatedServer any() {
        return site.servers().get(random.nextInt(site.servers().size()));
    }

    private int load(String server) {
        return reported.getOrDefault(server, 0);
    }

    private SimulatedServer least(List<SimulatedServer> servers, Function<SimulatedServer, Integer> load) {
        int start = random.nextInt(servers.size());
        SimulatedServer best = servers.get(start);
        for (int i = 1; i < servers.size(); i++) {
            SimulatedServer next = servers.get((start + i) % servers.size());
            if (load.apply(next) < load.apply(best)) {
                best = next;
            }
        }
        return best;
    }
}
