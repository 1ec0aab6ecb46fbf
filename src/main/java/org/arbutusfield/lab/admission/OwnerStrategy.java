package org.arbutusfield.lab.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.Rendezvous;
import org.arbutusfield.admission.SlotBroker;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotGrant;
import org.arbutusfield.admission.SlotPermit;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.UpstreamSlots;

/**
 * Strategy in which each server belongs to one host. The host at which a job arrives picks a server at random and
 * forwards the job to the owner.
 */
final class OwnerStrategy implements Strategy {
    private static final long TICK_INTERVAL_NANOS = 1_000_000;

    private final SimulatedRegion region;
    private final SplittableRandom random;
    private final Map<String, SlotBroker> queues = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private final Set<String> dead = new HashSet<>();
    private List<String> liveHosts;
    private long nextAttempt;

    private OwnerStrategy(SimulatedRegion region, SplittableRandom random, BrokerSettings settings) {
        this.region = region;
        this.random = random;
        this.liveHosts = region.hosts();
        for (String host : region.hosts()) {
            queues.put(host, SlotBroker.create(settings, host, 1, Set.of(), 0));
        }
        assignServers();
        region.loop().every(TICK_INTERVAL_NANOS, () -> region.hosts().forEach(this::tick));
    }

    static OwnerStrategy of(SimulatedRegion region, SplittableRandom random, BrokerSettings settings) {
        return new OwnerStrategy(region, random, settings);
    }

    @Override
    public void arrive(Job job, String host) {
        SimulatedServer server =
                region.servers().get(random.nextInt(region.servers().size()));
        String owner = Rendezvous.owner(server.name(), liveHosts).orElseThrow();
        if (!owner.equals(host)) {
            region.statistics().recordMessage();
        }
        long now = region.loop().nowNanos();
        long arrival = Math.max(now + region.delayNanos(host, owner), pausedUntil.getOrDefault(owner, 0L));
        region.loop().after(arrival - now, () -> requestSlot(job, host, owner));
    }

    @Override
    public String faultTarget(SimulatedRegion target) {
        return Rendezvous.owner(target.servers().get(0).name(), target.hosts()).orElseThrow();
    }

    @Override
    public void hostDied(String host) {
        dead.add(host);
        region.loop().after(Scenario.FAILURE_DETECTION_NANOS, () -> {
            liveHosts = region.hosts().stream().filter(h -> !dead.contains(h)).toList();
            assignServers();
        });
    }

    @Override
    public void hostPaused(String host) {
        pausedUntil.put(host, region.loop().nowNanos() + Scenario.PAUSE_NANOS);
    }

    private void assignServers() {
        for (String host : liveHosts) {
            List<UpstreamSlots> ownedServers = new ArrayList<>();
            for (UpstreamSlots server : region.slotServers()) {
                if (Rendezvous.owner(server.upstream(), liveHosts).orElseThrow().equals(host)) {
                    ownedServers.add(server);
                }
            }
            execute(host, queues.get(host).configure(ownedServers, region.loop().nowNanos()));
        }
    }

    private void tick(String host) {
        long now = region.loop().nowNanos();
        if (!dead.contains(host) && pausedUntil.getOrDefault(host, 0L) <= now) {
            execute(host, queues.get(host).tick(now));
        }
    }

    private void requestSlot(Job job, String origin, String owner) {
        long now = region.loop().nowNanos();
        if (dead.contains(owner) || dead.contains(origin)) {
            region.statistics().recordLost(now);
            return;
        }
        String id = origin + "." + nextAttempt++;
        jobs.put(id, job);
        execute(
                owner,
                queues.get(owner)
                        .request(
                                new SlotRequest(
                                        id,
                                        origin,
                                        1,
                                        region.failureDomain(owner),
                                        "service",
                                        job.priority().name(),
                                        job.priority(),
                                        job.deadlineNanos() - now),
                                now));
    }

    private void execute(String owner, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotPermit) {
                continue;
            }
            Job job = jobs.remove(decision.requestId());
            if (decision instanceof SlotGrant grant) {
                run(job, owner, grant);
            } else {
                region.statistics().recordRefused(region.loop().nowNanos());
            }
        }
    }

    private void run(Job job, String owner, SlotGrant grant) {
        SimulatedServer server = region.server(grant.upstream());
        long delay = region.delayNanos(owner, server);
        long sent = region.loop().nowNanos();
        region.loop()
                .after(
                        delay,
                        () -> server.run(
                                job,
                                (outcome, nanos) -> region.loop().after(delay, () -> {
                                    long now = region.loop().nowNanos();
                                    execute(
                                            owner,
                                            queues.get(owner)
                                                    .release(new SlotRelease(grant.token(), outcome, now - sent), now));
                                    region.loop()
                                            .after(
                                                    region.delayNanos(owner, grant.host()),
                                                    () -> finish(job, owner, grant.host(), outcome));
                                })));
    }

    private void finish(Job job, String owner, String origin, Outcome outcome) {
        long now = region.loop().nowNanos();
        if (dead.contains(owner) || dead.contains(origin)) {
            region.statistics().recordLost(now);
        } else if (outcome == Outcome.COMPLETED) {
            region.statistics().recordCompleted(job, now);
        } else if (outcome == Outcome.CANCELLED) {
            region.statistics().recordLate(now);
        } else {
            arrive(job, origin);
        }
    }
}
