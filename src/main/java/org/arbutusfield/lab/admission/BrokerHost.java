package org.arbutusfield.lab.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusfield.admission.BrokerMessage;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.ClientAction;
import org.arbutusfield.admission.ClientSettings;
import org.arbutusfield.admission.HeldSlots;
import org.arbutusfield.admission.RetryBudget;
import org.arbutusfield.admission.SlotBroker;
import org.arbutusfield.admission.SlotCancel;
import org.arbutusfield.admission.SlotClient;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.SlotTakeover;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * One host of {@link BrokerStrategy}: a slot client, and a slot broker that is created with the first message to it.
 */
final class BrokerHost {
    private static final long INCARNATION = 1;

    private final BrokerStrategy cluster;
    private final String name;
    private final BrokerSettings settings;
    private final SlotClient client;
    private final RetryBudget retryBudget = RetryBudget.create();
    private final Map<String, Job> jobs = new HashMap<>();
    private Set<String> liveHosts;
    private SlotBroker broker;
    private long nextAttempt;
    private boolean dead;

    private BrokerHost(
            BrokerStrategy cluster, String name, ClientSettings clientSettings, BrokerSettings brokerSettings) {
        this.cluster = cluster;
        this.name = name;
        this.settings = brokerSettings;
        this.client = SlotClient.create(clientSettings, name, INCARNATION, BrokerStrategy.groupKey(), 0);
        this.liveHosts = Set.copyOf(cluster.region().hosts());
        cluster.region().loop().after(0, () -> {
            execute(client.configure(cluster.region().slotServers(), now()));
            execute(client.membership(liveHosts, now()));
        });
    }

    static BrokerHost of(
            BrokerStrategy cluster, String name, ClientSettings clientSettings, BrokerSettings brokerSettings) {
        return new BrokerHost(cluster, name, clientSettings, brokerSettings);
    }

    String name() {
        return name;
    }

    void arrive(Job job) {
        retryBudget.recordFirstAttempt();
        requestSlot(job);
    }

    void tick() {
        execute(client.tick(now()));
        if (broker != null && !cluster.isPaused(name, now())) {
            sendDecisions(broker.tick(now()));
        }
    }

    void onHeartbeat(String from) {
        if (!dead) {
            execute(client.onBrokerAlive(from, INCARNATION, now()));
        }
    }

    void onMembershipChange(Set<String> newLiveHosts) {
        liveHosts = newLiveHosts;
        execute(client.membership(newLiveHosts, now()));
    }

    void onHostLost(String host, Set<String> newLiveHosts) {
        if (broker != null) {
            sendDecisions(broker.hostLost(host, INCARNATION, now()));
        }
        onMembershipChange(newLiveHosts);
    }

    void kill() {
        dead = true;
        jobs.values().forEach(job -> cluster.region().statistics().recordLost(now()));
        jobs.clear();
    }

    private void requestSlot(Job job) {
        String id = name + "." + nextAttempt++;
        jobs.put(id, job);
        execute(client.requestSlot(
                new SlotRequest(
                        id,
                        name,
                        INCARNATION,
                        cluster.region().failureDomain(name),
                        "service",
                        job.priority().name(),
                        job.priority(),
                        job.deadlineNanos() - now()),
                now()));
    }

    private void execute(List<ClientAction> actions) {
        for (ClientAction action : actions) {
            if (action instanceof ClientAction.Send send) {
                cluster.send(name, send.to(), true, host -> host.receive(send.message()));
            } else if (action instanceof ClientAction.Start start) {
                startJob(start);
            } else if (action instanceof ClientAction.Refuse refuse) {
                jobs.remove(refuse.requestId());
                cluster.region().statistics().recordRefused(now());
            }
        }
    }

    private void startJob(ClientAction.Start start) {
        SimulatedServer server = cluster.region().server(start.upstream());
        Job job = jobs.get(start.requestId());
        long sent = now();
        long delay = cluster.region().delayNanos(name, server);
        SimulationLoop loop = cluster.region().loop();
        loop.after(
                delay,
                () -> server.run(
                        job,
                        (outcome, nanos) -> loop.after(delay, () -> {
                            if (!dead) {
                                finish(start.requestId(), outcome, now() - sent);
                            }
                        })));
    }

    private void finish(String requestId, Outcome outcome, long nanos) {
        Job job = jobs.remove(requestId);
        execute(client.finished(requestId, outcome, nanos, now()));
        RunStatistics statistics = cluster.region().statistics();
        if (outcome == Outcome.COMPLETED) {
            statistics.recordCompleted(job, now());
        } else if (outcome == Outcome.CANCELLED) {
            statistics.recordLate(now());
        } else if (retryBudget.tryAcquire(Failure.of(ErrorCode.UPSTREAM_SHED), false)) {
            requestSlot(job);
        } else {
            statistics.recordRefused(now());
        }
    }

    private void receive(BrokerMessage message) {
        if (broker == null) {
            broker = SlotBroker.create(settings, name, INCARNATION, liveHosts, now());
            sendDecisions(broker.configure(cluster.region().slotServers(), now()));
        }
        if (message instanceof SlotRequest request) {
            sendDecisions(broker.request(request, now()));
        } else if (message instanceof SlotRelease release) {
            sendDecisions(broker.release(release, now()));
        } else if (message instanceof SlotTakeover takeover) {
            sendDecisions(broker.takeOver(takeover, now()));
        } else if (message instanceof SlotCancel cancel) {
            sendDecisions(broker.cancel(cancel.requestId(), now()));
        } else if (message instanceof HeldSlots report) {
            sendDecisions(broker.report(report, now()));
        }
    }

    private void sendDecisions(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            cluster.send(
                    name,
                    decision.host(),
                    false,
                    host -> host.execute(host.client.onDecision(name, decision, host.now())));
        }
    }

    private long now() {
        return cluster.region().loop().nowNanos();
    }
}
