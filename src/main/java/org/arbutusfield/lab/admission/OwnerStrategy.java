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
import org.arbutusfield.admission.SlotServer;

/** Each server belongs to one host; a host forwards a job to the owner of a server picked at random. */
final class OwnerStrategy implements Strategy {
    private static final long TICK_NANOS = 1_000_000;

    private final Site site;
    private final SplittableRandom random;
    private final Map<String, SlotBroker> queues = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private final Set<String> dead = new HashSet<>();
    private List<String> view;
    private long nextAttempt;

    private OwnerStrategy(Site site, SplittableRandom random, BrokerSettings settings) {
        this.site = site;
        this.random = random;
        this.view = site.hosts();
        for (String host : site.hosts()) {
            queues.put(host, SlotBroker.create(settings, host, 1, Set.of(), 0));
        }
        assign();
        site.loop().every(TICK_NANOS, () -> site.hosts().forEach(this::tick));
    }

    static OwnerStrategy of(Site site, SplittableRandom random, BrokerSettings settings) {
        return new OwnerStrategy(site, random, settings);
    }

    @Override
    public void arrive(Job job, String host) {
        SimulatedServer server =
                site.servers().get(random.nextInt(site.servers().size()));
        String owner = Rendezvous.owner(server.name(), view).orElseThrow();
        if (!owner.equals(host)) {
            site.tally().message();
        }
        long now = site.loop().nowNanos();
        long arrival = Math.max(now + site.delayNanos(host, owner), pausedUntil.getOrDefault(owner, 0L));
        site.loop().after(arrival - now, () -> ask(job, host, owner));
    }

    @Override
    public String weakest(Site at) {
        return Rendezvous.owner(at.servers().get(0).name(), at.hosts()).orElseThrow();
    }

    @Override
    public void died(String host) {
        dead.add(host);
        site.loop().after(Scenario.HEARTBEAT_LOSS_NANOS, () -> {
            view = site.hosts().stream().filter(h -> !dead.contains(h)).toList();
            assign();
        });
    }

    @Override
    public void paused(String host) {
        pausedUntil.put(host, site.loop().nowNanos() + Scenario.PAUSE_NANOS);
    }

    private void assign() {
        for (String host : view) {
            List<SlotServer> own = new ArrayList<>();
            for (SlotServer server : site.slotServers()) {
                if (Rendezvous.owner(server.upstream(), view).orElseThrow().equals(host)) {
                    own.add(server);
                }
            }
            carryOut(host, queues.get(host).configure(own, site.loop().nowNanos()));
        }
    }

    private void tick(String host) {
        long now = site.loop().nowNanos();
        if (!dead.contains(host) && pausedUntil.getOrDefault(host, 0L) <= now) {
            carryOut(host, queues.get(host).tick(now));
        }
    }

    private void ask(Job job, String origin, String owner) {
        long now = site.loop().nowNanos();
        if (dead.contains(owner) || dead.contains(origin)) {
            site.tally().lost(now);
            return;
        }
        String id = origin + "." + nextAttempt++;
        jobs.put(id, job);
        carryOut(
                owner,
                queues.get(owner)
                        .request(
                                new SlotRequest(
                                        id,
                                        origin,
                                        1,
                                        site.failureDomain(owner),
                                        "service",
                                        job.priority().name(),
                                        job.priority(),
                                        job.deadlineNanos() - now),
                                now));
    }

    private void carryOut(String owner, List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotPermit) {
                continue;
            }
            Job job = jobs.remove(decision.requestId());
            if (decision instanceof SlotGrant grant) {
                run(job, owner, grant);
            } else {
                site.tally().refused(site.loop().nowNanos());
            }
        }
    }

    private void run(Job job, String owner, SlotGrant grant) {
        SimulatedServer server = site.server(grant.upstream());
        long delay = site.delayNanos(owner, server);
        long sent = site.loop().nowNanos();
        site.loop()
                .after(
                        delay,
                        () -> server.run(
                                job,
                                (outcome, nanos) -> site.loop().after(delay, () -> {
                                    long now = site.loop().nowNanos();
                                    carryOut(
                                            owner,
                                            queues.get(owner)
                                                    .release(new SlotRelease(grant.token(), outcome, now - sent), now));
                                    site.loop()
                                            .after(
                                                    site.delayNanos(owner, grant.host()),
                                                    () -> finish(job, owner, grant.host(), outcome));
                                })));
    }

    private void finish(Job job, String owner, String origin, Outcome outcome) {
        long now = site.loop().nowNanos();
        if (dead.contains(owner) || dead.contains(origin)) {
            site.tally().lost(now);
        } else if (outcome == Outcome.COMPLETED) {
            site.tally().completed(job, now);
        } else if (outcome == Outcome.CANCELLED) {
            site.tally().late(now);
        } else {
            arrive(job, origin);
        }
    }
}
