package org.arbutusfield.lab.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.arbutusfield.distribution.PullPlan;
import org.arbutusfield.member.Heartbeat;
import org.arbutusfield.member.HeartbeatCodec;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MemberTable;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipTransition;
import org.arbutusfield.member.MembershipView;
import org.arbutusfield.member.OutgoingHeartbeat;
import org.arbutusfield.member.RevisionAnnouncement;
import org.arbutusfield.member.Rumour;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.EnvelopeCodec;
import org.arbutusfield.wire.EnvelopeKind;
import org.arbutusfield.wire.gen.ControlMessage;

/** Simulates thousands of hosts as pure state machines that exchange messages in virtual time. */
final class StateMachineFleet {
    static final int REGIONS = 25;

    private static final MembershipLimits LIMITS = MembershipLimits.defaults();
    private static final Duration INTRA_REGION_DELAY = Duration.ofMillis(1);
    private static final Duration INTER_REGION_DELAY = Duration.ofMillis(35);
    private static final Duration FLUSH_DELAY = Duration.ofMillis(20);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    private static final int HEADER_BYTES = 66;
    private static final int READ_BYTES = 900;
    private static final int SIZE_SAMPLING_INTERVAL = 61;
    private static final int DOMAIN_NAME_STEP = 100;

    final List<StateMachineHost> hosts = new ArrayList<>();
    final VirtualTimer timer = VirtualTimer.create();
    private final Map<String, StateMachineHost> byName = new HashMap<>();
    private final SplittableRandom random;
    private double loss;
    private int isolatedRegion = -1;
    private long messages;
    private long bytes;
    private long largestMessage;

    StateMachineFleet(int count, int domains, long seed) {
        random = new SplittableRandom(seed);
        MemberTable table = MemberTable.empty();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int domain = i % domains;
            Member member = VirtualHost.member("region-" + domain % REGIONS, domainName(domain), i / domains, 1);
            members.add(member);
            table = table.with(new Rumour(member, 0));
        }
        for (int i = 0; i < count; i++) {
            StateMachineHost host = new StateMachineHost(members.get(i), i % domains % REGIONS, table, LIMITS);
            hosts.add(host);
            byName.put(host.member.name(), host);
            timer.after(Duration.ofNanos(random.nextLong(LIMITS.interval().toNanos())), () -> sendHeartbeats(host));
        }
    }

    static String domainName(int domain) {
        return "domain-" + (DOMAIN_NAME_STEP + domain);
    }

    void loss(double share) {
        loss = share;
    }

    /** Drops all messages between a region and the others; -1 ends the isolation. */
    void isolate(int region) {
        isolatedRegion = region;
    }

    void run(Duration time) {
        timer.advance(time);
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    long largestMessage() {
        return largestMessage;
    }

    void installOn(StateMachineHost host, RevisionAnnouncement accepted) {
        install(host, accepted);
    }

    private void sendHeartbeats(StateMachineHost host) {
        if (host.dead) {
            return;
        }
        timer.after(LIMITS.interval(), () -> sendHeartbeats(host));
        apply(host, view -> view.tick(timer.nowNanos(), host.installed));
    }

    private MembershipTransition apply(StateMachineHost host, Function<MembershipView, MembershipTransition> input) {
        MembershipTransition transition = input.apply(host.view);
        host.view = transition.view();
        for (OutgoingHeartbeat outgoing : transition.outgoing()) {
            send(host, byName.get(outgoing.to().name()), outgoing.heartbeat());
        }
        transition.syncWith().ifPresent(peer -> sync(host, byName.get(peer.name())));
        if (transition.urgent()) {
            scheduleFlush(host);
        }
        return transition;
    }

    private void scheduleFlush(StateMachineHost host) {
        if (host.flushPending) {
            return;
        }
        host.flushPending = true;
        timer.after(FLUSH_DELAY, () -> {
            host.flushPending = false;
            if (!host.dead) {
                apply(host, view -> view.flush(timer.nowNanos(), host.installed));
            }
        });
    }

    private void send(StateMachineHost from, StateMachineHost to, Heartbeat heartbeat) {
        transmit(from, to, HeartbeatCodec.encode(heartbeat), () -> {
            MembershipTransition transition =
                    apply(to, view -> view.onHeartbeat(heartbeat, timer.nowNanos(), to.installed));
            onAnnouncement(to, from.member, heartbeat);
            Heartbeat reply = transition.reply().orElseThrow();
            transmit(to, from, HeartbeatCodec.encode(reply), () -> {
                apply(from, view -> view.onResponse(reply, timer.nowNanos()));
                onAnnouncement(from, to.member, reply);
            });
        });
    }

    private void onAnnouncement(StateMachineHost host, Member peer, Heartbeat heartbeat) {
        if (heartbeat.announcement().revision() > host.installed.revision()) {
            host.onAnnouncement(peer, heartbeat.announcement(), timer.nowNanos())
                    .ifPresent(next -> pullRevision(host, next));
        }
    }

    private void pullRevision(StateMachineHost host, PullPlan.Holder holder) {
        StateMachineHost peer = byName.get(holder.peer().name());
        boolean[] done = new boolean[1];
        recordTraffic(1, READ_BYTES / 2);
        deliver(host, peer, () -> {
            recordTraffic(1, READ_BYTES / 2);
            RevisionAnnouncement served = peer.installed;
            deliver(peer, host, () -> {
                done[0] = true;
                install(host, served);
                host.onReadFinished(holder, true, timer.nowNanos()).ifPresent(next -> pullRevision(host, next));
            });
        });
        timer.after(READ_TIMEOUT, () -> {
            if (!done[0] && !host.dead) {
                host.onReadFinished(holder, false, timer.nowNanos()).ifPresent(next -> pullRevision(host, next));
            }
        });
    }

    private void install(StateMachineHost host, RevisionAnnouncement served) {
        if (host.install(served, timer.nowNanos())) {
            scheduleFlush(host);
        }
    }

    private void sync(StateMachineHost host, StateMachineHost peer) {
        List<Long> digests = host.view.table().bucketDigests();
        recordTraffic(1, digests.size() * Long.BYTES);
        deliver(host, peer, () -> {
            List<Rumour> statements = peer.view.table().differing(digests, MembershipView.MAX_TABLE_RUMOURS);
            transmit(
                    peer,
                    host,
                    HeartbeatCodec.encodeTable(statements),
                    () -> apply(host, view -> view.onTable(statements, timer.nowNanos())));
        });
    }

    private void transmit(StateMachineHost from, StateMachineHost to, ControlMessage message, Runnable arrival) {
        messages++;
        boolean sampled = messages % SIZE_SAMPLING_INTERVAL == 0;
        boolean large = message.isSetMemberTable();
        if (sampled || large) {
            int size = EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.REQUEST, messages, message))
                    .map(encoded -> encoded.length)
                    .getOrElse(0);
            largestMessage = Math.max(largestMessage, size);
            bytes += (long) (size + HEADER_BYTES) * (large ? 1 : SIZE_SAMPLING_INTERVAL);
        }
        deliver(from, to, arrival);
    }

    private void recordTraffic(int number, int size) {
        messages += number;
        bytes += (long) number * (size + HEADER_BYTES);
    }

    private void deliver(StateMachineHost from, StateMachineHost to, Runnable arrival) {
        boolean separated = isolatedRegion >= 0 && (from.region == isolatedRegion) != (to.region == isolatedRegion);
        if (separated || (loss > 0 && random.nextDouble() < loss)) {
            return;
        }
        timer.after(from.region == to.region ? INTRA_REGION_DELAY : INTER_REGION_DELAY, () -> {
            if (!to.dead) {
                arrival.run();
            }
        });
    }

    /** Number of live hosts whose view has as many present members as there are live hosts. */
    long countAccurateViews() {
        long live = hosts.stream().filter(host -> !host.dead).count();
        return hosts.stream()
                .filter(host -> !host.dead && host.view.table().presentCount() == live)
                .count();
    }

    /** Number of live hosts whose view has the named member in the given state. */
    long countHostsWithState(String name, MemberState state) {
        return hosts.stream()
                .filter(host -> !host.dead)
                .filter(host -> host.view
                        .find(name)
                        .map(Member::state)
                        .filter(state::equals)
                        .isPresent())
                .count();
    }
}
