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

/** Thousands of hosts as pure state machines, with messages passed in virtual time. */
final class PureFleet {
    static final int REGIONS = 25;

    private static final MembershipLimits LIMITS = MembershipLimits.standard();
    private static final Duration NEAR = Duration.ofMillis(1);
    private static final Duration FAR = Duration.ofMillis(35);
    private static final Duration FLUSH_DELAY = Duration.ofMillis(20);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    private static final int HEADER_BYTES = 66;
    private static final int READ_BYTES = 900;
    private static final int SAMPLED = 61;
    private static final int DOMAIN_NAME_STEP = 100;

    final List<PureHost> hosts = new ArrayList<>();
    final VirtualTimer timer = VirtualTimer.create();
    private final Map<String, PureHost> byName = new HashMap<>();
    private final SplittableRandom random;
    private double loss;
    private int cutRegion = -1;
    private long messages;
    private long bytes;
    private long largestMessage;

    PureFleet(int count, int domains, long seed) {
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
            PureHost host = new PureHost(members.get(i), i % domains % REGIONS, table, LIMITS);
            hosts.add(host);
            byName.put(host.member.name(), host);
            timer.after(Duration.ofNanos(random.nextLong(LIMITS.interval().toNanos())), () -> beat(host));
        }
    }

    static String domainName(int domain) {
        return "domain-" + (DOMAIN_NAME_STEP + domain);
    }

    void loss(double share) {
        loss = share;
    }

    /** Cuts a region off from all others; -1 heals. */
    void cut(int region) {
        cutRegion = region;
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

    void accept(PureHost host, RevisionAnnouncement accepted) {
        installed(host, accepted);
    }

    private void beat(PureHost host) {
        if (host.dead) {
            return;
        }
        timer.after(LIMITS.interval(), () -> beat(host));
        apply(host, view -> view.tick(timer.nowNanos(), host.installed));
    }

    private MembershipTransition apply(PureHost host, Function<MembershipView, MembershipTransition> input) {
        MembershipTransition step = input.apply(host.view);
        host.view = step.view();
        for (OutgoingHeartbeat outgoing : step.outgoing()) {
            send(host, byName.get(outgoing.to().name()), outgoing.heartbeat());
        }
        step.syncWith().ifPresent(peer -> sync(host, byName.get(peer.name())));
        if (step.urgent()) {
            flushSoon(host);
        }
        return step;
    }

    private void flushSoon(PureHost host) {
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

    private void send(PureHost from, PureHost to, Heartbeat heartbeat) {
        transmit(from, to, HeartbeatCodec.encode(heartbeat), () -> {
            MembershipTransition step = apply(to, view -> view.onHeartbeat(heartbeat, timer.nowNanos(), to.installed));
            heard(to, from.member, heartbeat);
            Heartbeat reply = step.reply().orElseThrow();
            transmit(to, from, HeartbeatCodec.encode(reply), () -> {
                apply(from, view -> view.onResponse(reply, timer.nowNanos()));
                heard(from, to.member, reply);
            });
        });
    }

    private void heard(PureHost host, Member peer, Heartbeat heartbeat) {
        if (heartbeat.announcement().revision() > host.installed.revision()) {
            host.announced(peer, heartbeat.announcement(), timer.nowNanos()).ifPresent(next -> read(host, next));
        }
    }

    private void read(PureHost host, PullPlan.Holder holder) {
        PureHost peer = byName.get(holder.peer().name());
        boolean[] done = new boolean[1];
        count(1, READ_BYTES / 2);
        deliver(host, peer, () -> {
            count(1, READ_BYTES / 2);
            RevisionAnnouncement served = peer.installed;
            deliver(peer, host, () -> {
                done[0] = true;
                installed(host, served);
                host.finished(holder, true, timer.nowNanos()).ifPresent(next -> read(host, next));
            });
        });
        timer.after(READ_TIMEOUT, () -> {
            if (!done[0] && !host.dead) {
                host.finished(holder, false, timer.nowNanos()).ifPresent(next -> read(host, next));
            }
        });
    }

    private void installed(PureHost host, RevisionAnnouncement served) {
        if (host.install(served, timer.nowNanos())) {
            flushSoon(host);
        }
    }

    private void sync(PureHost host, PureHost peer) {
        List<Long> digests = host.view.table().bucketDigests();
        count(1, digests.size() * Long.BYTES);
        deliver(host, peer, () -> {
            List<Rumour> statements = peer.view.table().differing(digests, MembershipView.MAX_TABLE_RUMOURS);
            transmit(
                    peer,
                    host,
                    HeartbeatCodec.encodeTable(statements),
                    () -> apply(host, view -> view.onTable(statements, timer.nowNanos())));
        });
    }

    private void transmit(PureHost from, PureHost to, ControlMessage message, Runnable arrival) {
        messages++;
        boolean sampled = messages % SAMPLED == 0;
        boolean large = message.isSetMemberTable();
        if (sampled || large) {
            int size = EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.REQUEST, messages, message))
                    .map(encoded -> encoded.length)
                    .getOrElse(0);
            largestMessage = Math.max(largestMessage, size);
            bytes += (long) (size + HEADER_BYTES) * (large ? 1 : SAMPLED);
        }
        deliver(from, to, arrival);
    }

    private void count(int number, int size) {
        messages += number;
        bytes += (long) number * (size + HEADER_BYTES);
    }

    private void deliver(PureHost from, PureHost to, Runnable arrival) {
        boolean apart = cutRegion >= 0 && (from.region == cutRegion) != (to.region == cutRegion);
        if (apart || (loss > 0 && random.nextDouble() < loss)) {
            return;
        }
        timer.after(from.region == to.region ? NEAR : FAR, () -> {
            if (!to.dead) {
                arrival.run();
            }
        });
    }

    /** How many of the live hosts hold exactly the other live hosts to be there. */
    long accurate() {
        long live = hosts.stream().filter(host -> !host.dead).count();
        return hosts.stream()
                .filter(host -> !host.dead && host.view.table().presentCount() == live)
                .count();
    }

    /** How many of the live hosts hold a member in a state. */
    long holding(String name, MemberState state) {
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
