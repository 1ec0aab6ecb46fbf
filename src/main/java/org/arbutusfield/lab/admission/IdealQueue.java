package org.arbutusfield.lab.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.SlotBroker;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotGrant;
import org.arbutusfield.admission.SlotPermit;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.UpstreamSlots;

/** Lower bound on latency: the queue of a broker without messages, delays within a region or outdated state. */
final class IdealQueue {
    private final Workload workload;
    private final SimulationLoop loop;
    private final RunStatistics statistics;
    private final SlotBroker broker;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, SimulatedServer> servers = new HashMap<>();

    private IdealQueue(Workload workload, SimulationLoop loop, RunStatistics statistics, BrokerSettings settings) {
        this.workload = workload;
        this.loop = loop;
        this.statistics = statistics;
        this.broker = SlotBroker.create(settings, "ideal", 1, Set.of(), 0);
    }

    /** Creates one queue for the servers of the given regions. Each region counts as one failure domain. */
    static IdealQueue of(
            Workload workload, SimulationLoop loop, RunStatistics statistics, BrokerSettings settings, int... regions) {
        IdealQueue queue = new IdealQueue(workload, loop, statistics, settings);
        for (int region : regions) {
            for (int i = 0; i < workload.serversByRegion().get(region); i++) {
                String name = "r" + region + "s" + i;
                queue.servers.put(
                        name, SimulatedServer.of(name, "r" + region, workload.slotsPerServer(), loop, statistics));
            }
        }
        queue.broker.configure(
                queue.servers.values().stream()
                        .map(s -> new UpstreamSlots(s.name(), s.failureDomain(), s.slots(), false))
                        .toList(),
                0);
        loop.every(1_000_000, () -> queue.execute(queue.broker.tick(loop.nowNanos())));
        return queue;
    }

    void arrive(Job job) {
        jobs.put(job.id(), job);
        long remaining = job.deadlineNanos() - loop.nowNanos();
        String region = "r" + job.region();
        execute(broker.request(
                new SlotRequest(
                        job.id(), region, 1, region, "service", job.priority().name(), job.priority(), remaining),
                loop.nowNanos()));
    }

    private void execute(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotPermit) {
                continue;
            }
            Job job = jobs.remove(decision.requestId());
            if (decision instanceof SlotGrant grant) {
                run(job, grant);
            } else {
                statistics.recordRefused(loop.nowNanos());
            }
        }
    }

    private void run(Job job, SlotGrant grant) {
        SimulatedServer server = servers.get(grant.upstream());
        boolean local = server.failureDomain().equals("r" + job.region());
        long roundTripNanos = local ? 0 : 2 * workload.interRegionDelayNanos();
        server.run(job, (outcome, nanos) -> {
            execute(broker.release(new SlotRelease(grant.token(), outcome, nanos), loop.nowNanos()));
            loop.after(roundTripNanos, () -> {
                if (outcome == SlotRelease.Outcome.COMPLETED) {
                    statistics.recordCompleted(job, loop.nowNanos());
                } else {
                    statistics.recordLate(loop.nowNanos());
                }
            });
        });
    }
}
