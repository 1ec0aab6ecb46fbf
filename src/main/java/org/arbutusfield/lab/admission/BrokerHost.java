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

/** One host of {@link BrokerStrategy}: its client side and the broker that it runs when others ask it. */
final class BrokerHost {
    private static final long INCARNATION = 1;

    private final BrokerStrategy cluster;
    private final String name;
    private final BrokerSettings settings;
    private final SlotClient client;
    private final RetryBudget retries = RetryBudget.create();
    private final Map<String, Job> jobs = new HashMap<>();
    private Set<String> view;
    private SlotBroker broker;
    private long nextAttempt;
    private boolean dead;

    private BrokerHost(
            BrokerStrategy cluster, String name, ClientSettings clientSettings, BrokerSettings brokerSettings) {
        this.cluster = cluster;
        this.name = name;
        this.settings = brokerSettings;
        this.client = SlotClient.create(clientSettings, name, INCARNATION, BrokerStrategy.key(), 0);
        this.view = Set.copyOf(cluster.site().hosts());
        cluster.site().loop().after(0, () -> {
            carryOut(client.configure(cluster.site().slotServers(), now()));
            carryOut(client.membership(view, now()));
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
        retries.recordFirstAttempt();
        ask(job);
    }

    void tick() {
        carryOut(client.tick(now()));
        if (broker != null && !cluster.paused(name, now())) {
            reply(broker.tick(now()));
        }
    }

    void heard(String from) {
        if (!dead) {
            carryOut(client.onBrokerMessage(from, INCARNATION, now()));
        }
    }

    void see(Set<String> live) {
        view = live;
        carryOut(client.membership(live, now()));
    }

    void lost(String host, Set<String> live) {
        if (broker != null) {
            reply(broker.hostLost(host, INCARNATION, now()));
        }
        see(live);
    }

    void die() {
        dead = true;
        jobs.values().forEach(job -> cluster.site().tally().lost(now()));
        jobs.clear();
    }

    private void ask(Job job) {
        String id = name + "." + nextAttempt++;
        jobs.put(id, job);
        carryOut(client.ask(
                new SlotRequest(
                        id,
                        name,
                        INCARNATION,
                        cluster.site().failureDomain(name),
                        "service",
                        job.priority().name(),
                        job.priority(),
                        job.deadlineNanos() - now()),
                now()));
    }

    private void carryOut(List<ClientAction> actions) {
        for (ClientAction action : actions) {
            if (action instanceof ClientAction.Send send) {
                cluster.send(name, send.to(), true, host -> host.receive(send.message()));
            } else if (action instanceof ClientAction.Start start) {
                run(start);
            } else if (action instanceof ClientAction.Refuse refuse) {
                jobs.remove(refuse.requestId());
                cluster.site().tally().refused(now());
            }
        }
    }

    private void run(ClientAction.Start start) {
        SimulatedServer server = cluster.site().server(start.upstream());
        Job job = jobs.get(start.requestId());
        long sent = now();
        long delay = cluster.site().delayNanos(name, server);
        Loop loop = cluster.site().loop();
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
        carryOut(client.finished(requestId, outcome, nanos, now()));
        Tally tally = cluster.site().tally();
        if (outcome == Outcome.COMPLETED) {
            tally.completed(job, now());
        } else if (outcome == Outcome.CANCELLED) {
            tally.late(now());
        } else if (retries.tryAcquire(Failure.of(ErrorCode.UPSTREAM_SHED), false)) {
            ask(job);
        } else {
            tally.refused(now());
        }
    }

    private void receive(BrokerMessage message) {
        if (broker == null) {
            broker = SlotBroker.create(settings, name, INCARNATION, view, now());
            reply(broker.configure(cluster.site().slotServers(), now()));
        }
        if (message instanceof SlotRequest request) {
            reply(broker.request(request, now()));
        } else if (message instanceof SlotRelease release) {
            reply(broker.release(release, now()));
        } else if (message instanceof SlotTakeover takeover) {
            reply(broker.takeOver(takeover, now()));
        } else if (message instanceof SlotCancel cancel) {
            reply(broker.cancel(cancel.requestId(), now()));
        } else if (message instanceof HeldSlots report) {
            reply(broker.report(report, now()));
        }
    }

    private void reply(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            cluster.send(
                    name,
                    decision.host(),
                    false,
                    host -> host.carryOut(host.client.onDecision(name, decision, host.now())));
        }
    }

    private long now() {
        return cluster.site().loop().nowNanos();
    }
}
