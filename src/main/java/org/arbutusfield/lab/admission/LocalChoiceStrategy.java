package org.arbutusfield.lab.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.arbutusfield.admission.SlotRelease.Outcome;

/**
 * Strategy in which each host picks servers on its own. A job that was shed is retried after a short random back-off,
 * until its deadline.
 */
final class LocalChoiceStrategy implements Strategy {
    private static final long MIN_BACKOFF_NANOS = 2_000_000;
    private static final long MAX_BACKOFF_NANOS = 10_000_000;

    private final SimulatedRegion region;
    private final SplittableRandom random;
    private final Function<String, SimulatedServer> choice;
    private final Map<String, Integer> reportedLoads = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Set<String> dead = new HashSet<>();

    private LocalChoiceStrategy(
            SimulatedRegion region,
            SplittableRandom random,
            Function<LocalChoiceStrategy, Function<String, SimulatedServer>> choiceFactory) {
        this.region = region;
        this.random = random;
        this.choice = choiceFactory.apply(this);
        region.loop().every(region.scenario().reportLagNanos(), this::reportLoads);
    }

    static LocalChoiceStrategy random(SimulatedRegion region, SplittableRandom random) {
        return new LocalChoiceStrategy(region, random, self -> host -> self.randomServer());
    }

    static LocalChoiceStrategy leastLoaded(SimulatedRegion region, SplittableRandom random) {
        return new LocalChoiceStrategy(
                region, random, self -> host -> self.leastBy(self.region.servers(), s -> self.reportedLoad(s.name())));
    }

    static LocalChoiceStrategy twoChoices(SimulatedRegion region, SplittableRandom random) {
        return new LocalChoiceStrategy(
                region,
                random,
                self -> host -> self.leastBy(
                        List.of(self.randomServer(), self.randomServer()), s -> self.reportedLoad(s.name())));
    }

    static LocalChoiceStrategy ownInFlight(SimulatedRegion region, SplittableRandom random) {
        return new LocalChoiceStrategy(
                region,
                random,
                self -> host ->
                        self.leastBy(self.region.servers(), s -> self.inFlight.getOrDefault(host + s.name(), 0)));
    }

    @Override
    public void arrive(Job job, String host) {
        attempt(job, host);
    }

    @Override
    public void hostDied(String host) {
        dead.add(host);
    }

    private void attempt(Job job, String host) {
        if (dead.contains(host)) {
            region.statistics().recordLost(region.loop().nowNanos());
            return;
        }
        if (region.loop().nowNanos() >= job.deadlineNanos()) {
            region.statistics().recordRefused(region.loop().nowNanos());
            return;
        }
        SimulatedServer server = choice.apply(host);
        long delay = region.delayNanos(host, server);
        inFlight.merge(host + server.name(), 1, Integer::sum);
        region.loop()
                .after(
                        delay,
                        () -> server.run(
                                job,
                                (outcome, nanos) -> region.loop().after(delay, () -> {
                                    inFlight.merge(host + server.name(), -1, Integer::sum);
                                    finish(job, host, outcome);
                                })));
    }

    private void finish(Job job, String host, Outcome outcome) {
        long now = region.loop().nowNanos();
        if (dead.contains(host)) {
            region.statistics().recordLost(now);
        } else if (outcome == Outcome.COMPLETED) {
            region.statistics().recordCompleted(job, now);
        } else if (outcome == Outcome.CANCELLED) {
            region.statistics().recordLate(now);
        } else {
            region.loop().after(random.nextLong(MIN_BACKOFF_NANOS, MAX_BACKOFF_NANOS), () -> attempt(job, host));
        }
    }

    private void reportLoads() {
        for (SimulatedServer server : region.servers()) {
            int running = server.running();
            for (int i = 0; i < region.hosts().size(); i++) {
                region.statistics().recordMessage();
            }
            region.loop().after(region.scenario().reportLagNanos(), () -> reportedLoads.put(server.name(), running));
        }
    }

    private SimulatedServer randomServer() {
        return region.servers().get(random.nextInt(region.servers().size()));
    }

    private int reportedLoad(String server) {
        return reportedLoads.getOrDefault(server, 0);
    }

    private SimulatedServer leastBy(List<SimulatedServer> servers, Function<SimulatedServer, Integer> load) {
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
