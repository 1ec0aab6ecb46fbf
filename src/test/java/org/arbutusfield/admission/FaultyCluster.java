package org.arbutusfield.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.timer.VirtualTimer;

/**
 * A simulated cluster of hosts, brokers and upstreams whose messages are lost, duplicated and reordered. Violations are
 * recorded while it runs.
 */
final class FaultyCluster {
    static final long MS = 1_000_000;
    private static final int SLOTS = 2;
    private static final BrokerSettings SETTINGS =
            BrokerSettings.defaults().withPermits(BrokerSettings.TAKE_OVER_PERMITS);

    final VirtualTimer timer = VirtualTimer.create();
    final SplittableRandom random;
    final double loss;
    final Map<String, Host> hosts = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, String> decisions = new HashMap<>();
    final Set<String> requested = new HashSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private List<UpstreamSlots> servers = servers("");
    private long nextIncarnation = 1;
    int sheds;
    int completed;

    FaultyCluster(long seed, int count, double loss) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        for (int i = 0; i < count; i++) {
            start("h" + i);
        }
        hosts.values().forEach(host -> host.onMembership(hosts.keySet()));
    }

    static List<UpstreamSlots> servers(String drained) {
        return List.of("s1", "s2", "s3").stream()
                .map(name -> new UpstreamSlots(name, "a", SLOTS, name.equals(drained)))
                .toList();
    }

    void start(String name) {
        Host host = new Host(name, nextIncarnation++);
        Host earlier = hosts.put(name, host);
        if (earlier != null) {
            earlier.dead = true;
        }
        host.perform(host.client.configure(servers, timer.nowNanos()));
        host.scheduleTick();
    }

    void kill(String name) {
        Host killed = hosts.remove(name);
        killed.dead = true;
        forEachHostLater(host -> host.onMembership(hosts.keySet()));
        forEachHostLater(host ->
                host.brokers().forEach(b -> host.deliver(() -> b.hostLost(name, killed.incarnation, now()))));
    }

    void restart(String name) {
        start(name);
        forEachHostLater(host -> host.onMembership(hosts.keySet()));
    }

    void drain(String upstream) {
        servers = servers(upstream);
        forEachHostLater(host -> {
            host.perform(host.client.configure(servers, now()));
            host.brokers().forEach(host::configure);
        });
    }

    void requestSlot(String name, String id, Priority priority, long remainingMillis) {
        Host host = hosts.get(name);
        requested.add(id);
        var request = new SlotRequest(id, name, host.incarnation, "a", "q", "c", priority, remainingMillis * MS);
        host.perform(host.client.requestSlot(request, now()));
    }

    long now() {
        return timer.nowNanos();
    }

    private void forEachHostLater(Consumer<Host> change) {
        for (Host host : List.copyOf(hosts.values())) {
            runLater(host, change);
        }
    }

    private void runLater(Host host, Consumer<Host> change) {
        timer.after(Duration.ofMillis(1 + random.nextInt(400)), () -> {
            if (host.paused) {
                runLater(host, change);
            } else if (!host.dead) {
                change.accept(host);
            }
        });
    }

    private void send(Runnable delivery) {
        int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < loss ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            timer.after(Duration.ofNanos(random.nextLong(MS / 2, (loss > 0 ? 20 : 1) * MS)), delivery);
        }
    }

    final class Host {
        final String name;
        final long incarnation;
        final SlotClient client;
        private final Set<String> live = new TreeSet<>();
        private SlotBroker broker;
        private BrokerInvariantChecker checker;
        boolean dead;
        boolean paused;

        private Host(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            this.client = SlotClient.create(ClientSettings.defaults(), name, incarnation, "q", now());
        }

        List<SlotBroker> brokers() {
            return broker == null ? List.of() : List.of(broker);
        }

        void onMembership(Set<String> view) {
            live.clear();
            live.addAll(view);
            perform(client.membership(view, now()));
        }

        private void scheduleTick() {
            timer.after(Duration.ofMillis(5), () -> {
                if (dead) {
                    return;
                }
                if (!paused) {
                    perform(client.tick(now()));
                    brokers().forEach(b -> deliver(() -> b.tick(now())));
                    if (broker != null && now() / MS % 25 < 5) {
                        hosts.values()
                                .forEach(h -> send(() -> h.perform(h.client.onBrokerAlive(name, incarnation, now()))));
                    }
                }
                scheduleTick();
            });
        }

        private void receive(BrokerMessage message) {
            if (dead || paused) {
                return;
            }
            if (broker == null) {
                broker = SlotBroker.create(SETTINGS, name, incarnation, live, now());
                checker = new BrokerInvariantChecker(SLOTS, violations);
                configure(broker);
            }
            checker.received(message, now());
            if (message instanceof SlotRequest request) {
                deliver(() -> broker.request(request, now()));
            } else if (message instanceof SlotRelease release) {
                deliver(() -> broker.release(release, now()));
            } else if (message instanceof SlotTakeover takeover) {
                deliver(() -> broker.takeOver(takeover, now()));
            } else if (message instanceof SlotCancel cancel) {
                deliver(() -> broker.cancel(cancel.requestId(), now()));
            } else if (message instanceof HeldSlots report) {
                deliver(() -> broker.report(report, now()));
            }
        }

        void configure(SlotBroker at) {
            checker.configured(servers);
            deliver(() -> at.configure(servers, now()));
        }

        private void deliver(Supplier<List<SlotDecision>> brokerCall) {
            if (dead || paused) {
                return;
            }
            for (SlotDecision decision : brokerCall.get()) {
                checker.decided(decision, now());
                send(() -> {
                    Host to = hosts.get(decision.host());
                    if (to != null && !to.paused) {
                        to.perform(to.client.onDecision(name, decision, now()));
                    }
                });
            }
        }

        void perform(List<ClientAction> actions) {
            for (ClientAction action : actions) {
                if (action instanceof ClientAction.Send send) {
                    send(() -> {
                        if (hosts.containsKey(send.to())) {
                            hosts.get(send.to()).receive(send.message());
                        }
                    });
                } else if (action instanceof ClientAction.Start start) {
                    recordDecision(start.requestId(), "started");
                    run(start);
                } else if (action instanceof ClientAction.Refuse refuse) {
                    recordDecision(refuse.requestId(), "refused");
                }
            }
        }

        private void recordDecision(String requestId, String decision) {
            String earlier = decisions.put(requestId, decision);
            if (earlier != null) {
                violations.add(requestId + " " + earlier + " then " + decision + " at " + now() / MS);
            }
        }

        private void run(ClientAction.Start start) {
            boolean shed = running.merge(start.upstream(), 1, Integer::sum) > SLOTS;
            long service = shed ? MS : random.nextLong(10, 60) * MS;
            timer.after(Duration.ofNanos(service), () -> {
                running.merge(start.upstream(), -1, Integer::sum);
                sheds += shed ? 1 : 0;
                completed += shed ? 0 : 1;
                if (!dead) {
                    Outcome outcome = shed ? Outcome.SHED : Outcome.COMPLETED;
                    perform(client.finished(start.requestId(), outcome, service, now()));
                }
            });
        }
    }
}
