package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * An entry host's side of admission for one group of servers of a service in one region.
 *
 * <p><b>Problem.</b> A host must get exactly one answer for each request although its broker may die, be paused, be
 * replaced, or be reached by only some hosts, and although messages come late, twice or never.
 *
 * <p><b>Idea.</b> Each request has one question open at a time, at the broker or, while the broker is silent, at a
 * queue of the host's own over its base share of slots ({@link BaseShare}). Moving a question to another place cancels
 * it at the first one and gives it a new id, so a grant for an earlier id is known to be surplus and is released at
 * once. A place that was told to cancel may free the slot at once, because this host starts nothing on a surplus grant.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>Each request is started once or refused once, and never both.
 *   <li>A refusal is given at the latest when the deadline passes, whether or not anyone answers.
 *   <li>Each grant that arrives is used or released.
 *   <li>A broker that takes over, or that comes back, hears of all slots held before it hears a question.
 * </ul>
 *
 * <p><b>Example.</b> The broker is paused. After 100 ms of silence three waiting questions move to the host's own queue
 * with two base slots: two start, one waits. The broker wakes and grants all three: each grant names an old id and is
 * released. The host reports its two slots and moves the third question back.
 *
 * <p>The class has no clock, thread or random source and is not thread-safe; its owner calls it under one lock and
 * carries out the actions returned, in order.
 */
public final class SlotClient {
    private static final long UNKNOWN_EPOCH = Long.MIN_VALUE;
    private static final int MAX_USES = 8;

    private final ClientSettings settings;
    private final String host;
    private final long incarnation;
    private final String key;
    private final SlotBroker own;
    private final Map<String, PendingRequest> asks = new LinkedHashMap<>();
    private final Map<String, PendingRequest> asksById = new LinkedHashMap<>();
    private final HeldSlotTable held = HeldSlotTable.create();
    private List<SlotServer> servers = List.of();
    private Set<String> hosts = Set.of();
    private String broker = "";
    private long brokerEpoch = UNKNOWN_EPOCH;
    private boolean fallback = true;
    private long heardNanos;
    private long reportedNanos;

    private SlotClient(ClientSettings settings, String host, long incarnation, String key, long nowNanos) {
        this.settings = settings;
        this.host = host;
        this.incarnation = incarnation;
        this.key = key;
        this.own = SlotBroker.create(settings.fallback(), host + "/own", incarnation, Set.of(), nowNanos);
    }

    /**
     * A host's side that knows no hosts and no servers yet.
     *
     * @param settings tuning
     * @param host name of this host
     * @param incarnation incarnation of this host
     * @param key names the service, the region and the group of servers; hashed to find the broker
     * @param nowNanos the time
     */
    public static SlotClient create(ClientSettings settings, String host, long incarnation, String key, long nowNanos) {
        return new SlotClient(settings, host, incarnation, key, nowNanos);
    }

    /** Name of the host that runs the broker; empty while no host is known. */
    public String broker() {
        return broker;
    }

    /** True while the host uses its base share because the broker is silent. */
    public boolean fallback() {
        return fallback;
    }

    /** Requests that wait for a slot. */
    public int waiting() {
        return asks.size();
    }

    /** When {@link #tick} must be called next if nothing else happens. */
    public long nextWakeNanos(long nowNanos) {
        long wake = reportedNanos + settings.reportIntervalNanos();
        if (fallback) {
            wake = Math.min(wake, own.nextWakeNanos(nowNanos));
        } else {
            wake = Math.min(wake, heardNanos + settings.brokerTimeoutNanos());
        }
        for (PendingRequest ask : asks.values()) {
            wake = Math.min(wake, ask.deadlineNanos());
        }
        return wake;
    }

    /** Installs the live hosts of the region; a change of broker moves all open questions. */
    public List<ClientAction> membership(Set<String> liveHosts, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        hosts = Set.copyOf(liveHosts);
        installShare(nowNanos, out);
        String owner = Rendezvous.owner(key, hosts).orElse("");
        if (owner.equals(broker)) {
            return out;
        }
        Optional<String> before = place();
        broker = owner;
        brokerEpoch = UNKNOWN_EPOCH;
        heardNanos = nowNanos;
        fallback = owner.isEmpty();
        moveAll(before, nowNanos, out);
        return out;
    }

    /** Installs the servers of the configuration in force. */
    public List<ClientAction> configure(Collection<SlotServer> to, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        servers = List.copyOf(to);
        installShare(nowNanos, out);
        return out;
    }

    /** Asks for a slot. Ids of requests must never be used again. */
    public List<ClientAction> ask(SlotRequest request, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (asks.containsKey(request.requestId()) || held.holds(request.requestId())) {
            return out;
        }
        PendingRequest ask = PendingRequest.of(request, nowNanos);
        asks.put(request.requestId(), ask);
        asksById.put(ask.askId(), ask);
        put(ask, nowNanos, out);
        return out;
    }

    /** Ends a request that was not started, for instance because its caller left. No answer follows. */
    public List<ClientAction> abandon(String requestId, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        PendingRequest ask = asks.remove(requestId);
        if (ask != null) {
            asksById.remove(ask.askId());
            cancel(place(), ask.askId(), nowNanos, out);
        }
        return out;
    }

    /** Gives the slot of a started request back. */
    public List<ClientAction> finished(
            String requestId, SlotRelease.Outcome outcome, long serviceNanos, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        Optional<HeldSlotTable.Entry> slot = held.remove(requestId);
        if (slot.isEmpty()) {
            return out;
        }
        SlotRelease release = new SlotRelease(slot.get().token(), outcome, serviceNanos);
        Optional<PendingRequest> next = successor(slot.get(), outcome);
        if (next.isPresent()) {
            takeOver(next.get(), slot.get(), release, nowNanos, out);
        } else {
            release(release, nowNanos, out);
        }
        return out;
    }

    /** Sets a later deadline for a started request, for instance while a long answer makes progress. */
    public void extend(String requestId, long remainingNanos, long nowNanos) {
        held.extend(requestId, nowNanos + remainingNanos);
    }

    /** Handles a broker's answer. */
    public List<ClientAction> onDecision(String from, SlotDecision decision, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (decision instanceof SlotGrant grant) {
            out.addAll(onBrokerMessage(from, grant.token().epoch(), nowNanos));
        }
        settle(decision, nowNanos, out);
        return out;
    }

    /**
     * Notes a message of a broker, at least its heartbeat.
     *
     * @param from name of the host
     * @param epoch incarnation of the broker
     * @param nowNanos the time
     */
    public List<ClientAction> onBrokerMessage(String from, long epoch, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (!from.equals(broker) || epoch < brokerEpoch) {
            return out;
        }
        heardNanos = nowNanos;
        boolean restarted = brokerEpoch != UNKNOWN_EPOCH && epoch > brokerEpoch;
        boolean known = epoch == brokerEpoch;
        brokerEpoch = epoch;
        if (fallback || restarted) {
            Optional<String> before = place();
            fallback = false;
            moveAll(before, nowNanos, out);
        } else if (!known) {
            report(nowNanos, out);
        }
        return out;
    }

    /** Does what time alone brings: falls back, refuses at deadlines and reports the slots held. */
    public List<ClientAction> tick(long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (!fallback && nowNanos - heardNanos >= settings.brokerTimeoutNanos()) {
            Optional<String> before = place();
            fallback = true;
            moveAll(before, nowNanos, out);
        }
        settleAll(own.tick(nowNanos), nowNanos, out);
        for (PendingRequest ask : List.copyOf(asks.values())) {
            if (ask.deadlineNanos() <= nowNanos && open(ask)) {
                out.addAll(abandon(ask.request().requestId(), nowNanos));
                out.add(new ClientAction.Refuse(
                        ask.request().requestId(),
                        Failure.of(ErrorCode.DEADLINE_PASSED, ask.request().service())));
            }
        }
        if (nowNanos - reportedNanos >= settings.reportIntervalNanos()) {
            report(nowNanos, out);
        }
        return out;
    }

    /** Where questions go: the broker's host, or empty for this host's own queue. */
    private Optional<String> place() {
        return fallback ? Optional.empty() : Optional.of(broker);
    }

    private void installShare(long nowNanos, List<ClientAction> out) {
        settleAll(own.configure(BaseShare.of(host, hosts, servers), nowNanos), nowNanos, out);
    }

    private void moveAll(Optional<String> before, long nowNanos, List<ClientAction> out) {
        report(nowNanos, out);
        for (PendingRequest ask : List.copyOf(asks.values())) {
            if (!open(ask)) {
                continue;
            }
            asksById.remove(ask.askId());
            cancel(before, ask.askId(), nowNanos, out);
            ask.move();
            asksById.put(ask.askId(), ask);
            put(ask, nowNanos, out);
        }
    }

    private boolean open(PendingRequest ask) {
        return asks.containsKey(ask.request().requestId());
    }

    private void put(PendingRequest ask, long nowNanos, List<ClientAction> out) {
        if (fallback) {
            settleAll(own.request(ask.question(nowNanos), nowNanos), nowNanos, out);
            return;
        }
        out.add(new ClientAction.Send(broker, ask.question(nowNanos)));
    }

    private void cancel(Optional<String> place, String askId, long nowNanos, List<ClientAction> out) {
        if (place.isEmpty()) {
            settleAll(own.cancel(askId, nowNanos), nowNanos, out);
            return;
        }
        out.add(new ClientAction.Send(place.get(), new SlotCancel(askId)));
    }

    private void settleAll(List<SlotDecision> decisions, long nowNanos, List<ClientAction> out) {
        decisions.forEach(decision -> settle(decision, nowNanos, out));
    }

    private void settle(SlotDecision decision, long nowNanos, List<ClientAction> out) {
        if (decision instanceof SlotPermit) {
            Optional.ofNullable(asksById.get(decision.requestId())).ifPresent(PendingRequest::permit);
            return;
        }
        PendingRequest ask = asksById.remove(decision.requestId());
        if (ask != null) {
            asks.remove(ask.request().requestId());
        }
        if (decision instanceof SlotRefusal refusal && ask != null) {
            out.add(new ClientAction.Refuse(ask.request().requestId(), refusal.failure()));
        }
        if (!(decision instanceof SlotGrant grant) || held.holds(grant.token())) {
            return;
        }
        if (ask == null) {
            release(new SlotRelease(grant.token(), SlotRelease.Outcome.CANCELLED, 0), nowNanos, out);
            return;
        }
        held.add(ask, grant.token(), grant.upstream());
        out.add(new ClientAction.Start(ask.request().requestId(), grant.upstream()));
    }

    /** The waiting request that may run on a slot that just became free; empty when the slot goes back. */
    private Optional<PendingRequest> successor(HeldSlotTable.Entry slot, SlotRelease.Outcome outcome) {
        SlotToken token = slot.token();
        boolean mine = !fallback && token.broker().equals(broker) && token.epoch() == brokerEpoch;
        if (!mine || outcome != SlotRelease.Outcome.COMPLETED || token.use() >= MAX_USES || !accepts(slot.upstream())) {
            return Optional.empty();
        }
        return asks.values().stream()
                .filter(PendingRequest::permitted)
                .filter(ask -> near(ask, slot.upstream()))
                .min(Comparator.comparing(ask -> ask.request().priority()));
    }

    private boolean near(PendingRequest ask, String upstream) {
        String failureDomain = ask.request().failureDomain();
        return servers.stream()
                .anyMatch(
                        s -> s.upstream().equals(upstream) && s.failureDomain().equals(failureDomain));
    }

    private boolean accepts(String upstream) {
        return servers.stream().anyMatch(s -> s.upstream().equals(upstream) && !s.drained());
    }

    private void takeOver(
            PendingRequest next, HeldSlotTable.Entry slot, SlotRelease release, long nowNanos, List<ClientAction> out) {
        SlotRequest request = next.request();
        asks.remove(request.requestId());
        asksById.remove(next.askId());
        held.add(next, slot.token().next(), slot.upstream());
        out.add(new ClientAction.Start(request.requestId(), slot.upstream()));
        long remaining = next.deadlineNanos() - nowNanos;
        out.add(new ClientAction.Send(
                broker, new SlotTakeover(release, next.askId(), request.requestClass(), remaining)));
    }

    /** Tells everyone who may count the slot: the broker that granted it, the present one and the own queue. */
    private void release(SlotRelease release, long nowNanos, List<ClientAction> out) {
        String granter = release.token().broker();
        boolean foreign = !granter.equals(broker) && !granter.equals(host + "/own");
        if (foreign) {
            out.add(new ClientAction.Send(granter, release));
        }
        if (!broker.isEmpty()) {
            out.add(new ClientAction.Send(broker, release));
        }
        settleAll(own.release(release, nowNanos), nowNanos, out);
    }

    private void report(long nowNanos, List<ClientAction> out) {
        reportedNanos = nowNanos;
        HeldSlots slots = new HeldSlots(host, incarnation, held.report(nowNanos));
        if (fallback) {
            settleAll(own.report(slots, nowNanos), nowNanos, out);
        }
        if (!broker.isEmpty()) {
            out.add(new ClientAction.Send(broker, slots));
        }
    }
}
