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
import org.arbutusfield.admission.SlotTakeover;
import org.arbutusfield.admission.UpstreamSlots;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;

/**
 * Admission for one group of upstreams on this host: its {@link SlotClient}, and the group's {@link SlotBroker} while
 * this host runs it.
 *
 * <p>Each group has its own lock. Messages are sent under the lock, so that they leave in the order in which they were
 * decided; futures of requests are completed after the lock has been released.
 */
final class SlotGroup {
    private static final Logger LOG = LogManager.getLogger(SlotGroup.class);
    private static final long HEARTBEAT_INTERVAL_NANOS = 25_000_000;
    private static final long HOST_ACTIVITY_WINDOW_NANOS = 2_000_000_000;
    private static final int EPOCH_COUNTER_BITS = 16;

    private final Object lock = new Object();
    private final String key;
    private final HostIdentity self;
    private final TimerService timer;
    private final ControlMessageSender sender;
    private final SlotClient client;
    private final Map<String, CompletableFuture<Either<Failure, String>>> waiting = new HashMap<>();
    private final Map<String, Long> lastMessageNanos = new HashMap<>();
    private final Map<String, Integer> limits = new HashMap<>();
    private final GroupHealth health = GroupHealth.create();
    private List<UpstreamSlots> servers = List.of();
    private SlotBroker broker;
    private long brokerEpoch;
    private long brokersCreated;
    private long lastHeartbeatNanos;

    private SlotGroup(String key, HostIdentity self, TimerService timer, ControlMessageSender sender) {
        this.key = key;
        this.self = self;
        this.timer = timer;
        this.sender = sender;
        this.client =
                SlotClient.create(ClientSettings.defaults(), self.name(), self.incarnation(), key, timer.nowNanos());
    }

    /** Creates a group that knows no hosts and no upstreams yet. */
    static SlotGroup create(String key, HostIdentity self, TimerService timer, ControlMessageSender sender) {
        return new SlotGroup(key, self, timer, sender);
    }

    /** Requests a slot; the future completes with the name of an upstream or the reason of the refusal. */
    CompletableFuture<Either<Failure, String>> requestSlot(SlotRequest request) {
        CompletableFuture<Either<Failure, String>> result = new CompletableFuture<>();
        runLocked(completions -> {
            waiting.put(request.requestId(), result);
            perform(client.requestSlot(request, timer.nowNanos()), completions);
        });
        return result;
    }

    /** Cancels a request that waits for a slot. Its future is not completed. */
    void cancelRequest(String requestId) {
        runLocked(completions -> {
            waiting.remove(requestId);
            perform(client.abandon(requestId, timer.nowNanos()), completions);
        });
    }

    /** Releases the slot of a request. */
    void releaseSlot(String requestId, SlotRelease.Outcome outcome, long serviceNanos) {
        runLocked(completions ->
                perform(client.finished(requestId, outcome, serviceNanos, timer.nowNanos()), completions));
    }

    /** Installs the upstreams of the configuration in force. */
    void configure(Collection<UpstreamSlots> newServers) {
        runLocked(completions -> {
            servers = List.copyOf(newServers);
            health.retain(servers.stream().map(UpstreamSlots::upstream).collect(Collectors.toSet()));
            perform(client.configure(servers, timer.nowNanos()), completions);
            if (broker != null) {
                deliver(broker.configure(servers, timer.nowNanos()), completions);
            }
        });
    }

    /** Installs the live hosts of the region, and starts or stops this host's broker if the group's broker changes. */
    void membership(Set<String> liveHosts) {
        runLocked(completions -> {
            long now = timer.nowNanos();
            List<ClientAction> actions = client.membership(liveHosts, now);
            boolean runsBroker = client.broker().equals(self.name());
            if (runsBroker && broker == null) {
                brokersCreated++;
                brokerEpoch = (self.incarnation() << EPOCH_COUNTER_BITS) + brokersCreated;
                broker = SlotBroker.create(BrokerSettings.defaults(), self.name(), brokerEpoch, liveHosts, now);
                deliver(broker.configure(servers, now), completions);
            }
            if (!runsBroker) {
                broker = null;
                lastMessageNanos.clear();
            }
            perform(actions, completions);
        });
    }

    /** Handles another host's message to this host's broker; the message is dropped if this host runs none. */
    void onMessageToBroker(String from, BrokerMessage message) {
        runLocked(completions -> handleAtBroker(from, message, completions));
    }

    /** Handles a broker's decision for this host. */
    void onDecision(SlotDecision decision) {
        runLocked(completions -> {
            String from = decision instanceof org.arbutusfield.admission.SlotGrant grant
                    ? grant.token().broker()
                    : client.broker();
            perform(client.onDecision(from, decision, timer.nowNanos()), completions);
        });
    }

    /** Handles a broker's heartbeat. */
    void onBrokerHeartbeat(String from, long epoch) {
        runLocked(completions -> perform(client.onBrokerAlive(from, epoch, timer.nowNanos()), completions));
    }

    /** Handles the passage of time. */
    void tick() {
        runLocked(completions -> {
            long now = timer.nowNanos();
            if (broker != null) {
                deliver(broker.tick(now), completions);
                sendHeartbeats(now, completions);
            }
            perform(client.tick(now), completions);
        });
    }

    /** Returns the status of this group. */
    SlotGroupStatus status() {
        synchronized (lock) {
            long now = timer.nowNanos();
            int inUse = 0;
            for (UpstreamSlots server : servers) {
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

    private void sendHeartbeats(long now, List<Runnable> completions) {
        if (now - lastHeartbeatNanos < HEARTBEAT_INTERVAL_NANOS) {
            return;
        }
        lastHeartbeatNanos = now;
        limitSlotsByHealth(now, completions);
        lastMessageNanos.values().removeIf(messageNanos -> now - messageNanos > HOST_ACTIVITY_WINDOW_NANOS);
        for (String host : lastMessageNanos.keySet()) {
            if (!host.equals(self.name())) {
                sender.send(host, SlotCodec.heartbeat(key, self.name(), brokerEpoch));
            }
        }
        perform(client.onBrokerAlive(self.name(), brokerEpoch, now), completions);
    }

    private void perform(List<ClientAction> actions, List<Runnable> completions) {
        Deque<ClientAction> remaining = new ArrayDeque<>(actions);
        while (!remaining.isEmpty()) {
            ClientAction action = remaining.remove();
            if (action instanceof ClientAction.Start start) {
                complete(start.requestId(), Either.right(start.upstream()), completions);
            } else if (action instanceof ClientAction.Refuse refuse) {
                complete(refuse.requestId(), Either.left(refuse.failure()), completions);
            } else if (action instanceof ClientAction.Send send) {
                send(send, completions);
            }
        }
    }

    private void send(ClientAction.Send send, List<Runnable> completions) {
        if (send.to().equals(self.name())) {
            handleAtBroker(self.name(), send.message(), completions);
            return;
        }
        sender.send(send.to(), SlotCodec.encode(key, self.name(), send.message()));
    }

    private void handleAtBroker(String from, BrokerMessage message, List<Runnable> completions) {
        if (broker == null) {
            return;
        }
        long now = timer.nowNanos();
        lastMessageNanos.put(from, now);
        deliver(brokerDecisions(message, now), completions);
    }

    private List<SlotDecision> brokerDecisions(BrokerMessage message, long now) {
        if (message instanceof SlotRequest request) {
            return broker.request(request, now);
        }
        if (message instanceof SlotRelease release) {
            recordHealth(release, now);
            return broker.release(release, now);
        }
        if (message instanceof SlotTakeover takeover) {
            recordHealth(takeover.release(), now);
            return broker.takeOver(takeover, now);
        }
        if (message instanceof SlotCancel cancel) {
            return broker.cancel(cancel.requestId(), now);
        }
        return broker.report((HeldSlots) message, now);
    }

    private void recordHealth(SlotRelease release, long now) {
        broker.useOf(release.token()).ifPresent(use -> health.record(use, release, now));
    }

    /** Limits the slots that the broker uses on each upstream according to the upstream's health. */
    private void limitSlotsByHealth(long now, List<Runnable> completions) {
        Map<String, Double> shares = health.shares(now);
        for (UpstreamSlots server : servers) {
            int limit = GroupHealth.slotLimit(shares, server);
            Integer before = limits.put(server.upstream(), limit);
            if (before != null && before != limit) {
                LOG.info("event=upstream_limited group={} upstream={} slots={}", key, server.upstream(), limit);
            }
            deliver(broker.limit(server.upstream(), limit, now), completions);
        }
    }

    private void deliver(List<SlotDecision> decisions, List<Runnable> completions) {
        for (SlotDecision decision : decisions) {
            if (decision.host().equals(self.name())) {
                perform(client.onDecision(self.name(), decision, timer.nowNanos()), completions);
            } else {
                sender.send(decision.host(), SlotCodec.encode(key, decision));
            }
        }
    }

    private void complete(String requestId, Either<Failure, String> result, List<Runnable> completions) {
        CompletableFuture<Either<Failure, String>> future = waiting.remove(requestId);
        if (future != null) {
            completions.add(() -> future.complete(result));
        }
    }

    private void runLocked(LockedAction action) {
        List<Runnable> completions = new ArrayList<>();
        synchronized (lock) {
            action.run(completions);
        }
        completions.forEach(Runnable::run);
    }

    /** Work that runs under the lock and collects the completions to run after it is released. */
    @FunctionalInterface
    private interface LockedAction {
        void run(List<Runnable> completions);
    }
}
