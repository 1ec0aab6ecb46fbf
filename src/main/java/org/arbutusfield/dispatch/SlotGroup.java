package org.arbutusfield.dispatch;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.admission.BrokerMessage;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.ClientAction;
import org.arbutusfield.admission.ClientSettings;
import org.arbutusfield.admission.HeldSlots;
import org.arbutusfield.admission.SlotBroker;
import org.arbutusfield.admission.SlotCancel;
import org.arbutusfield.admission.SlotClient;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.SlotServer;
import org.arbutusfield.admission.SlotTakeover;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;

/**
 * Admission for one group of servers on this host: its {@link SlotClient}, and its {@link SlotBroker} while this host
 * is the one that runs it.
 *
 * <p>A shard of the host's state under its own lock. Messages are sent under the lock, so that they leave in the order
 * in which they were decided; answers to requests are completed after the lock was left.
 */
final class SlotGroup {
    private static final Logger LOG = LogManager.getLogger(SlotGroup.class);
    private static final long HEARTBEAT_NANOS = 25_000_000;
    private static final long HEARD_LATELY_NANOS = 2_000_000_000;
    private static final int EPOCH_BITS = 16;

    private final Object lock = new Object();
    private final String key;
    private final HostIdentity self;
    private final TimerService timer;
    private final ControlMessageSender post;
    private final SlotClient client;
    private final Map<String, CompletableFuture<Either<Failure, String>>> waiting = new HashMap<>();
    private final Map<String, Long> heardNanos = new HashMap<>();
    private final Map<String, Integer> limits = new HashMap<>();
    private final GroupHealth health = GroupHealth.create();
    private List<SlotServer> servers = List.of();
    private SlotBroker broker;
    private long brokerEpoch;
    private long brokersCreated;
    private long heartbeatNanos;

    private SlotGroup(String key, HostIdentity self, TimerService timer, ControlMessageSender post) {
        this.key = key;
        this.self = self;
        this.timer = timer;
        this.post = post;
        this.client =
                SlotClient.create(ClientSettings.defaults(), self.name(), self.incarnation(), key, timer.nowNanos());
    }

    /** A group that knows no hosts and no servers yet. */
    static SlotGroup create(String key, HostIdentity self, TimerService timer, ControlMessageSender post) {
        return new SlotGroup(key, self, timer, post);
    }

    /** Asks for a slot; the future gets the name of a server, or why the request is refused. */
    CompletableFuture<Either<Failure, String>> ask(SlotRequest request) {
        CompletableFuture<Either<Failure, String>> answer = new CompletableFuture<>();
        run(answers -> {
            waiting.put(request.requestId(), answer);
            perform(client.ask(request, timer.nowNanos()), answers);
        });
        return answer;
    }

    /** Ends a request that waits. Its future is left as it is. */
    void abandon(String requestId) {
        run(answers -> {
            waiting.remove(requestId);
            perform(client.abandon(requestId, timer.nowNanos()), answers);
        });
    }

    /** Gives a slot back. */
    void finished(String requestId, SlotRelease.Outcome outcome, long serviceNanos) {
        run(answers -> perform(client.finished(requestId, outcome, serviceNanos, timer.nowNanos()), answers));
    }

    /** Installs the servers of the configuration in force. */
    void configure(Collection<SlotServer> to) {
        run(answers -> {
            servers = List.copyOf(to);
            health.retain(servers.stream().map(SlotServer::upstream).collect(Collectors.toSet()));
            perform(client.configure(servers, timer.nowNanos()), answers);
            if (broker != null) {
                deliver(broker.configure(servers, timer.nowNanos()), answers);
            }
        });
    }

    /** Installs the live hosts of the region; starts or stops this host's broker when the owner changes. */
    void membership(Set<String> liveHosts) {
        run(answers -> {
            long now = timer.nowNanos();
            List<ClientAction> actions = client.membership(liveHosts, now);
            boolean owner = client.broker().equals(self.name());
            if (owner && broker == null) {
                brokersCreated++;
                brokerEpoch = (self.incarnation() << EPOCH_BITS) + brokersCreated;
                broker = SlotBroker.create(BrokerSettings.defaults(), self.name(), brokerEpoch, liveHosts, now);
                deliver(broker.configure(servers, now), answers);
            }
            if (!owner) {
                broker = null;
                heardNanos.clear();
            }
            perform(actions, answers);
        });
    }

    /** Handles another host's message for this host's broker; dropped when this host runs none. */
    void onMessageToBroker(String from, BrokerMessage message) {
        run(answers -> toBroker(from, message, answers));
    }

    /** Handles a broker's decision for this host. */
    void onDecision(SlotDecision decision) {
        run(answers -> {
            String from = decision instanceof org.arbutusfield.admission.SlotGrant grant
                    ? grant.token().broker()
                    : client.broker();
            perform(client.onDecision(from, decision, timer.nowNanos()), answers);
        });
    }

    /** Notes a broker's sign of life. */
    void onBrokerHeartbeat(String from, long epoch) {
        run(answers -> perform(client.onBrokerMessage(from, epoch, timer.nowNanos()), answers));
    }

    /** Does what time alone brings. */
    void tick() {
        run(answers -> {
            long now = timer.nowNanos();
            if (broker != null) {
                deliver(broker.tick(now), answers);
                sendHeartbeats(now, answers);
            }
            perform(client.tick(now), answers);
        });
    }

    /** How things stand, for reports. */
    SlotGroupStatus status() {
        synchronized (lock) {
            long now = timer.nowNanos();
            int inUse = 0;
            for (SlotServer server : servers) {
                inUse += broker == null ? 0 : broker.inUse(server.upstream());
            }
            return new SlotGroupStatus(
                    key,
                    client.broker(),
                    client.fallback(),
                    client.waiting(),
                    broker == null ? 0 : broker.capacity(now),
                    inUse,
                    broker == null ? 0 : broker.backlog());
        }
    }

    private void sendHeartbeats(long now, List<Runnable> answers) {
        if (now - heartbeatNanos < HEARTBEAT_NANOS) {
            return;
        }
        heartbeatNanos = now;
        limitByHealth(now, answers);
        heardNanos.values().removeIf(heard -> now - heard > HEARD_LATELY_NANOS);
        for (String host : heardNanos.keySet()) {
            if (!host.equals(self.name())) {
                post.send(host, SlotCodec.heartbeat(key, self.name(), brokerEpoch));
            }
        }
        perform(client.onBrokerMessage(self.name(), brokerEpoch, now), answers);
    }

    private void perform(List<ClientAction> actions, List<Runnable> answers) {
        Deque<ClientAction> open = new ArrayDeque<>(actions);
        while (!open.isEmpty()) {
            ClientAction action = open.remove();
            if (action instanceof ClientAction.Start start) {
                answer(start.requestId(), Either.right(start.upstream()), answers);
            } else if (action instanceof ClientAction.Refuse refuse) {
                answer(refuse.requestId(), Either.left(refuse.failure()), answers);
            } else if (action instanceof ClientAction.Send send) {
                send(send, answers);
            }
        }
    }

    private void send(ClientAction.Send send, List<Runnable> answers) {
        if (send.to().equals(self.name())) {
            toBroker(self.name(), send.message(), answers);
            return;
        }
        post.send(send.to(), SlotCodec.encode(key, self.name(), send.message()));
    }

    private void toBroker(String from, BrokerMessage message, List<Runnable> answers) {
        if (broker == null) {
            return;
        }
        long now = timer.nowNanos();
        heardNanos.put(from, now);
        deliver(decide(message, now), answers);
    }

    private List<SlotDecision> decide(BrokerMessage message, long now) {
        if (message instanceof SlotRequest request) {
            return broker.request(request, now);
        }
        if (message instanceof SlotRelease release) {
            note(release, now);
            return broker.release(release, now);
        }
        if (message instanceof SlotTakeover takeover) {
            note(takeover.release(), now);
            return broker.takeOver(takeover, now);
        }
        if (message instanceof SlotCancel cancel) {
            return broker.cancel(cancel.requestId(), now);
        }
        return broker.report((HeldSlots) message, now);
    }

    private void note(SlotRelease release, long now) {
        broker.useOf(release.token()).ifPresent(use -> health.note(use, release, now));
    }

    /** Lets health decide how many slots of each server the broker uses. */
    private void limitByHealth(long now, List<Runnable> answers) {
        Map<String, Double> shares = health.shares(now);
        for (SlotServer server : servers) {
            int limit = GroupHealth.limit(shares, server);
            Integer before = limits.put(server.upstream(), limit);
            if (before != null && before != limit) {
                LOG.info("event=upstream_limited group={} upstream={} slots={}", key, server.upstream(), limit);
            }
            deliver(broker.limit(server.upstream(), limit, now), answers);
        }
    }

    private void deliver(List<SlotDecision> decisions, List<Runnable> answers) {
        for (SlotDecision decision : decisions) {
            if (decision.host().equals(self.name())) {
                perform(client.onDecision(self.name(), decision, timer.nowNanos()), answers);
            } else {
                post.send(decision.host(), SlotCodec.encode(key, decision));
            }
        }
    }

    private void answer(String requestId, Either<Failure, String> result, List<Runnable> answers) {
        CompletableFuture<Either<Failure, String>> future = waiting.remove(requestId);
        if (future != null) {
            answers.add(() -> future.complete(result));
        }
    }

    private void run(LockedStep step) {
        List<Runnable> answers = new ArrayList<>();
        synchronized (lock) {
            step.run(answers);
        }
        answers.forEach(Runnable::run);
    }

    /** Work under the lock that collects what is to be completed after it. */
    @FunctionalInterface
    private interface LockedStep {
        void run(List<Runnable> answers);
    }
}
