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
 * The host side of admission for one group of upstreams of a service in one region.
 *
 * <p><b>Problem.</b> A host must start or refuse each request exactly once, although its broker may die, be paused, be
 * replaced, or be reachable from only some hosts, and although messages may be delayed, duplicated or lost.
 *
 * <p><b>Idea.</b> Each request has one slot request open at a time: at the broker or, while the broker is unreachable,
 * at the host's own queue for its base share of slots ({@link BaseShare}). Moving a request to another queue cancels it
 * at the first one and gives it a new id, so a grant for an earlier id is recognized as surplus and released at once. A
 * broker that receives a cancellation may free the slot immediately, because this host never starts a request on a
 * surplus grant.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>Each request is either started once or refused once, never both.
 *   <li>A request is refused no later than its deadline, whether or not any broker responds.
 *   <li>Each received grant is either used or released.
 *   <li>A new or returning broker receives the report of all slots held before any slot request.
 * </ul>
 *
 * <p><b>Example.</b> The broker is paused. After 100 ms without a message, three pending requests move to the host's
 * own queue with two base slots: two start, one waits. The broker resumes and grants all three: each grant names an old
 * id and is released. The host reports its two slots and moves the third request back.
 *
 * <p>The class has no clock, thread or random source and is not thread-safe; the owner calls it under one lock and
 * carries out the returned actions in order.
 */
public final class SlotClient {
    private static final long UNKNOWN_EPOCH = Long.MIN_VALUE;
    private static final int MAX_SLOT_USES = 8;

    private final ClientSettings settings;
    private final String host;
    private final long incarnation;
    private final String key;
    private final SlotBroker fallbackBroker;
    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();
    private final Map<String, PendingRequest> pendingByAttemptId = new LinkedHashMap<>();
    private final HeldSlotTable held = HeldSlotTable.create();
    private List<UpstreamSlots> servers = List.of();
    private Set<String> hosts = Set.of();
    private String broker = "";
    private long brokerEpoch = UNKNOWN_EPOCH;
    private boolean fallback = true;
    private long lastBrokerMessageNanos;
    private long lastReportNanos;

    private SlotClient(ClientSettings settings, String host, long incarnation, String key, long nowNanos) {
        this.settings = settings;
        this.host = host;
        this.incarnation = incarnation;
        this.key = key;
        this.fallbackBroker = SlotBroker.create(settings.fallback(), host + "/own", incarnation, Set.of(), nowNanos);
    }

    /**
     * Creates a client that knows no hosts and no upstreams yet.
     *
     * @param settings configuration
     * @param host name of this host
     * @param incarnation incarnation of this host
     * @param key names the service, the region and the group of upstreams; hashed to choose the broker
     * @param nowNanos current time
     */
    public static SlotClient create(ClientSettings settings, String host, long incarnation, String key, long nowNanos) {
        return new SlotClient(settings, host, incarnation, key, nowNanos);
    }

    /** Name of the host that runs the broker; empty while no host is known. */
    public String broker() {
        return broker;
    }

    /** True while the host uses its base share because the broker is unreachable. */
    public boolean fallback() {
        return fallback;
    }

    /** Number of requests that wait for a slot. */
    public int waiting() {
        return pending.size();
    }

    /** When {@link #tick} must be called next if nothing else happens. */
    public long nextWakeNanos(long nowNanos) {
        long wake = lastReportNanos + settings.reportIntervalNanos();
        if (fallback) {
            wake = Math.min(wake, fallbackBroker.nextWakeNanos(nowNanos));
        } else {
            wake = Math.min(wake, lastBrokerMessageNanos + settings.brokerTimeoutNanos());
        }
        for (PendingRequest pendingRequest : pending.values()) {
            wake = Math.min(wake, pendingRequest.deadlineNanos());
        }
        return wake;
    }

    /** Installs the live hosts of the region; if the broker changes, all pending requests move to the new one. */
    public List<ClientAction> membership(Set<String> liveHosts, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        hosts = Set.copyOf(liveHosts);
        configureFallback(nowNanos, out);
        String owner = Rendezvous.owner(key, hosts).orElse("");
        if (owner.equals(broker)) {
            return out;
        }
        Optional<String> before = target();
        broker = owner;
        brokerEpoch = UNKNOWN_EPOCH;
        lastBrokerMessageNanos = nowNanos;
        fallback = owner.isEmpty();
        resubmitAll(before, nowNanos, out);
        return out;
    }

    /** Installs the upstreams of the configuration in force. */
    public List<ClientAction> configure(Collection<UpstreamSlots> to, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        servers = List.copyOf(to);
        configureFallback(nowNanos, out);
        return out;
    }

    /** Requests a slot. Request ids must never be reused. */
    public List<ClientAction> requestSlot(SlotRequest request, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (pending.containsKey(request.requestId()) || held.holds(request.requestId())) {
            return out;
        }
        PendingRequest pendingRequest = PendingRequest.of(request, nowNanos);
        pending.put(request.requestId(), pendingRequest);
        pendingByAttemptId.put(pendingRequest.attemptId(), pendingRequest);
        submit(pendingRequest, nowNanos, out);
        return out;
    }

    /**
     * Cancels a request that has not started, for example because its caller disconnected. No start or refusal follows.
     */
    public List<ClientAction> abandon(String requestId, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        PendingRequest pendingRequest = pending.remove(requestId);
        if (pendingRequest != null) {
            pendingByAttemptId.remove(pendingRequest.attemptId());
            cancel(target(), pendingRequest.attemptId(), nowNanos, out);
        }
        return out;
    }

    /** Releases the slot of a started request, or runs a permitted request on it. */
    public List<ClientAction> finished(
            String requestId, SlotRelease.Outcome outcome, long serviceNanos, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        Optional<HeldSlotTable.Entry> slot = held.remove(requestId);
        if (slot.isEmpty()) {
            return out;
        }
        SlotRelease release = new SlotRelease(slot.get().token(), outcome, serviceNanos);
        Optional<PendingRequest> next = nextForSlot(slot.get(), outcome);
        if (next.isPresent()) {
            takeOver(next.get(), slot.get(), release, nowNanos, out);
        } else {
            release(release, nowNanos, out);
        }
        return out;
    }

    /** Extends the deadline of a started request, for example while a long response makes progress. */
    public void extend(String requestId, long remainingNanos, long nowNanos) {
        held.extend(requestId, nowNanos + remainingNanos);
    }

    /** Handles a broker's decision. */
    public List<ClientAction> onDecision(String from, SlotDecision decision, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (decision instanceof SlotGrant grant) {
            out.addAll(onBrokerAlive(from, grant.token().epoch(), nowNanos));
        }
        handle(decision, nowNanos, out);
        return out;
    }

    /**
     * Handles the sign that a broker is alive: a heartbeat or any other message.
     *
     * @param from name of the host
     * @param epoch incarnation of the broker
     * @param nowNanos current time
     */
    public List<ClientAction> onBrokerAlive(String from, long epoch, long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (!from.equals(broker) || epoch < brokerEpoch) {
            return out;
        }
        lastBrokerMessageNanos = nowNanos;
        boolean restarted = brokerEpoch != UNKNOWN_EPOCH && epoch > brokerEpoch;
        boolean sameEpoch = epoch == brokerEpoch;
        brokerEpoch = epoch;
        if (fallback || restarted) {
            Optional<String> before = target();
            fallback = false;
            resubmitAll(before, nowNanos, out);
        } else if (!sameEpoch) {
            report(nowNanos, out);
        }
        return out;
    }

    /**
     * Handles the passage of time: switches to the base share if the broker timed out, refuses requests whose deadlines
     * have passed, and reports the slots held.
     */
    public List<ClientAction> tick(long nowNanos) {
        List<ClientAction> out = new ArrayList<>();
        if (!fallback && nowNanos - lastBrokerMessageNanos >= settings.brokerTimeoutNanos()) {
            Optional<String> before = target();
            fallback = true;
            resubmitAll(before, nowNanos, out);
        }
        handleAll(fallbackBroker.tick(nowNanos), nowNanos, out);
        for (PendingRequest pendingRequest : List.copyOf(pending.values())) {
            if (pendingRequest.deadlineNanos() <= nowNanos && isPending(pendingRequest)) {
                out.addAll(abandon(pendingRequest.request().requestId(), nowNanos));
                out.add(new ClientAction.Refuse(
                        pendingRequest.request().requestId(),
                        Failure.of(
                                ErrorCode.DEADLINE_PASSED,
                                pendingRequest.request().service())));
            }
        }
        if (nowNanos - lastReportNanos >= settings.reportIntervalNanos()) {
            report(nowNanos, out);
        }
        return out;
    }

    /** Where slot requests are sent: the broker's host, or empty for this host's own queue. */
    private Optional<String> target() {
        return fallback ? Optional.empty() : Optional.of(broker);
    }

    private void configureFallback(long nowNanos, List<ClientAction> out) {
        handleAll(fallbackBroker.configure(BaseShare.of(host, hosts, servers), nowNanos), nowNanos, out);
    }

    private void resubmitAll(Optional<String> before, long nowNanos, List<ClientAction> out) {
        report(nowNanos, out);
        for (PendingRequest pendingRequest : List.copyOf(pending.values())) {
            if (!isPending(pendingRequest)) {
                continue;
            }
            pendingByAttemptId.remove(pendingRequest.attemptId());
            cancel(before, pendingRequest.attemptId(), nowNanos, out);
            pendingRequest.resubmit();
            pendingByAttemptId.put(pendingRequest.attemptId(), pendingRequest);
            submit(pendingRequest, nowNanos, out);
        }
    }

    private boolean isPending(PendingRequest pendingRequest) {
        return pending.containsKey(pendingRequest.request().requestId());
    }

    private void submit(PendingRequest pendingRequest, long nowNanos, List<ClientAction> out) {
        if (fallback) {
            handleAll(fallbackBroker.request(pendingRequest.toSlotRequest(nowNanos), nowNanos), nowNanos, out);
            return;
        }
        out.add(new ClientAction.Send(broker, pendingRequest.toSlotRequest(nowNanos)));
    }

    private void cancel(Optional<String> target, String attemptId, long nowNanos, List<ClientAction> out) {
        if (target.isEmpty()) {
            handleAll(fallbackBroker.cancel(attemptId, nowNanos), nowNanos, out);
            return;
        }
        out.add(new ClientAction.Send(target.get(), new SlotCancel(attemptId)));
    }

    private void handleAll(List<SlotDecision> decisions, long nowNanos, List<ClientAction> out) {
        decisions.forEach(decision -> handle(decision, nowNanos, out));
    }

    private void handle(SlotDecision decision, long nowNanos, List<ClientAction> out) {
        if (decision instanceof SlotPermit) {
            Optional.ofNullable(pendingByAttemptId.get(decision.requestId())).ifPresent(PendingRequest::permit);
            return;
        }
        PendingRequest pendingRequest = pendingByAttemptId.remove(decision.requestId());
        if (pendingRequest != null) {
            pending.remove(pendingRequest.request().requestId());
        }
        if (decision instanceof SlotRefusal refusal && pendingRequest != null) {
            out.add(new ClientAction.Refuse(pendingRequest.request().requestId(), refusal.failure()));
        }
        if (!(decision instanceof SlotGrant grant) || held.holds(grant.token())) {
            return;
        }
        if (pendingRequest == null) {
            release(new SlotRelease(grant.token(), SlotRelease.Outcome.CANCELLED, 0), nowNanos, out);
            return;
        }
        held.add(pendingRequest, grant.token(), grant.upstream());
        out.add(new ClientAction.Start(pendingRequest.request().requestId(), grant.upstream()));
    }

    /** The pending request that may run on a slot that has just become free; empty if the slot is to be released. */
    private Optional<PendingRequest> nextForSlot(HeldSlotTable.Entry slot, SlotRelease.Outcome outcome) {
        SlotToken token = slot.token();
        boolean grantedByCurrentBroker = !fallback && token.broker().equals(broker) && token.epoch() == brokerEpoch;
        if (!grantedByCurrentBroker
                || outcome != SlotRelease.Outcome.COMPLETED
                || token.use() >= MAX_SLOT_USES
                || !acceptsRequests(slot.upstream())) {
            return Optional.empty();
        }
        return pending.values().stream()
                .filter(PendingRequest::permitted)
                .filter(pendingRequest -> inSameFailureDomain(pendingRequest, slot.upstream()))
                .min(Comparator.comparing(
                        pendingRequest -> pendingRequest.request().priority()));
    }

    private boolean inSameFailureDomain(PendingRequest pendingRequest, String upstream) {
        String failureDomain = pendingRequest.request().failureDomain();
        return servers.stream()
                .anyMatch(
                        s -> s.upstream().equals(upstream) && s.failureDomain().equals(failureDomain));
    }

    private boolean acceptsRequests(String upstream) {
        return servers.stream().anyMatch(s -> s.upstream().equals(upstream) && !s.drained());
    }

    private void takeOver(
            PendingRequest next, HeldSlotTable.Entry slot, SlotRelease release, long nowNanos, List<ClientAction> out) {
        SlotRequest request = next.request();
        pending.remove(request.requestId());
        pendingByAttemptId.remove(next.attemptId());
        held.add(next, slot.token().next(), slot.upstream());
        out.add(new ClientAction.Start(request.requestId(), slot.upstream()));
        long remaining = next.deadlineNanos() - nowNanos;
        out.add(new ClientAction.Send(
                broker, new SlotTakeover(release, next.attemptId(), request.requestClass(), remaining)));
    }

    /**
     * Releases the slot at every broker that may count it: the one that granted it, the present one and the host's own.
     */
    private void release(SlotRelease release, long nowNanos, List<ClientAction> out) {
        String granter = release.token().broker();
        boolean grantedElsewhere = !granter.equals(broker) && !granter.equals(host + "/own");
        if (grantedElsewhere) {
            out.add(new ClientAction.Send(granter, release));
        }
        if (!broker.isEmpty()) {
            out.add(new ClientAction.Send(broker, release));
        }
        handleAll(fallbackBroker.release(release, nowNanos), nowNanos, out);
    }

    private void report(long nowNanos, List<ClientAction> out) {
        lastReportNanos = nowNanos;
        HeldSlots slots = new HeldSlots(host, incarnation, held.report(nowNanos));
        if (fallback) {
            handleAll(fallbackBroker.report(slots, nowNanos), nowNanos, out);
        }
        if (!broker.isEmpty()) {
            out.add(new ClientAction.Send(broker, slots));
        }
    }
}
