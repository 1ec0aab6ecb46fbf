package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Shares the slots of one service's upstreams in one region among the entry hosts.
 *
 * <p><b>Problem.</b> Many hosts send requests to upstreams that each run only a few at a time. A host that balances by
 * load reports acts on stale data: all hosts see the same idle upstream and send to it at once, while others stay idle.
 * A host that counts only its own requests does not see those of the other hosts. In both cases upstreams shed requests
 * although slots are free elsewhere, and a request waits for the slots of one upstream instead of for any free slot.
 *
 * <p><b>Idea.</b> One host of the region runs a broker with a single queue for all slots of these upstreams. A host
 * requests a slot, gets the name of an upstream and a token, sends its request to that upstream directly, and releases
 * the slot with the outcome. So the number of slots in use is counted exactly, not estimated. A request is refused on
 * arrival if the work ahead of it, divided by the slots, leaves too little of its deadline; a queued request is refused
 * as soon as the same becomes true because requests of higher priority arrived or the upstreams slowed down.
 *
 * <p>Between the end of one request and the start of the next, the release, the grant and the next request cross the
 * network one after the other while the slot is idle. To avoid this, the broker sends permits for the requests at the
 * front of the queue. A host that finishes a request may run one of its own permitted requests on the same slot at
 * once, if the upstream is in its failure domain, and informs the broker afterwards. The number of permits bounds how
 * many places in the queue such a request can skip, and a slot returns to the broker after a few uses.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>An upstream never has more active grants than slots, unless its slots were reduced after they were granted or
 *       hosts reported grants of an earlier broker.
 *   <li>A drained or withdrawn upstream gets no grant.
 *   <li>A request is either granted or refused, never both; a slot request that arrives again gets the first decision
 *       again.
 *   <li>A slot becomes free when its holder releases it or when the deadline of its request has passed. The loss of its
 *       holder does not free it, because the upstream may still be running the request.
 *   <li>A new broker grants nothing while it waits for reports of the slots in use.
 * </ul>
 *
 * <p><b>Example.</b> Two upstreams have three slots each, the mean service time is 50 ms, six requests are running and
 * four are queued. A request with 300 ms left waits for about five completions, 5 x 50 / 6 = 42 ms, and is queued. With
 * 60 queued the wait would be 508 ms: the request is refused at once with a Retry-After of 508 to 1016 ms.
 *
 * <p>The class has no clock, thread or random source: each method takes the current time and returns the decisions to
 * send. It is not thread-safe; the owner calls it under one lock.
 */
public final class SlotBroker {
    private static final int SAME_DOMAIN_WEIGHT = 1_000;

    private final BrokerSettings settings;
    private final String hostName;
    private final long epoch;
    private final BrokerRecovery recovery;
    private final SortedMap<String, UpstreamState> servers = new TreeMap<>();
    private final RequestQueue queue;
    private final GrantTable grants = GrantTable.create();
    private final ServiceTimes times = ServiceTimes.create();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final ExpiringMap<String, Optional<SlotDecision>> decisions;
    private final ExpiringMap<SlotToken, Integer> endedUses;
    private long nextSequence;

    private SlotBroker(BrokerSettings settings, String hostName, long epoch, BrokerRecovery recovery) {
        this.settings = settings;
        this.hostName = hostName;
        this.epoch = epoch;
        this.recovery = recovery;
        this.queue = RequestQueue.create(settings.lowerPriorityInterval());
        this.decisions = ExpiringMap.retaining(settings.decisionRetentionNanos());
        this.endedUses = ExpiringMap.retaining(settings.decisionRetentionNanos());
    }

    /**
     * Creates a broker that grants nothing until all live hosts have reported the slots they hold or the grace time has
     * passed.
     *
     * @param settings configuration
     * @param hostName name of the host that runs the broker
     * @param epoch incarnation of the broker; never used before by this host
     * @param liveHosts hosts that may hold slots
     * @param nowNanos current time
     */
    public static SlotBroker create(
            BrokerSettings settings, String hostName, long epoch, Set<String> liveHosts, long nowNanos) {
        return new SlotBroker(
                settings, hostName, epoch, BrokerRecovery.awaiting(liveHosts, nowNanos + settings.reportGraceNanos()));
    }

    /** Number of slots in use on an upstream, including those that hosts reported. */
    public int inUse(String upstream) {
        return servers.containsKey(upstream) ? servers.get(upstream).inUse() : 0;
    }

    /** Returns what a slot is used for; empty if the use is unknown or has ended. */
    public Optional<SlotUse> useOf(SlotToken token) {
        return grants.find(token)
                .filter(grant -> grant.token().equals(token))
                .map(grant -> new SlotUse(grant.server().upstream(), grant.requestClass()));
    }

    /** Number of queued requests. */
    public int backlog() {
        return queue.size();
    }

    /** Number of slots that may be used now, whether in use or free. */
    public int capacity(long nowNanos) {
        int sum = 0;
        for (UpstreamState server : servers.values()) {
            sum += server.capacity(nowNanos);
        }
        return sum;
    }

    /** Time needed to serve the queued requests on the present slots, in nanoseconds. */
    public long backlogNanos(long nowNanos) {
        return workNanos(queue.size(), nowNanos);
    }

    /** When {@link #tick} must be called next if nothing else happens; {@link Long#MAX_VALUE} for never. */
    public long nextWakeNanos(long nowNanos) {
        long wake = Math.min(grants.nextExpiryNanos(), queue.firstLatestStartNanos() + 1);
        if (queue.isEmpty()) {
            return grants.nextExpiryNanos();
        }
        for (UpstreamState server : servers.values()) {
            wake = Math.min(wake, server.nextRecoveryNanos(nowNanos));
        }
        return Math.min(wake, recovery.endNanos(nowNanos));
    }

    /**
     * Installs the upstreams of the configuration in force at once. Upstreams that are not listed are withdrawn.
     *
     * @param to all upstreams of the broker
     * @param nowNanos current time
     */
    public List<SlotDecision> configure(Collection<UpstreamSlots> to, long nowNanos) {
        Set<String> named = new HashSet<>();
        for (UpstreamSlots server : to) {
            named.add(server.upstream());
            servers.computeIfAbsent(
                            server.upstream(), upstream -> UpstreamState.of(server, settings.shedRecoveryNanos()))
                    .configure(server);
        }
        for (UpstreamState server : servers.values()) {
            if (!named.contains(server.upstream())) {
                server.withdraw();
            }
        }
        servers.values().removeIf(server -> server.withdrawn() && server.inUse() == 0);
        return capacityChanged(nowNanos);
    }

    /**
     * Limits the usable slots of an upstream, for example to 0 if health checks report it dead, or to a few while its
     * caches are cold.
     *
     * @param upstream name of the upstream; ignored if unknown
     * @param slots maximum number of slots to use; {@link Integer#MAX_VALUE} removes the limit
     * @param nowNanos current time
     */
    public List<SlotDecision> limit(String upstream, int slots, long nowNanos) {
        if (servers.containsKey(upstream)) {
            servers.get(upstream).limitTo(slots);
        }
        return capacityChanged(nowNanos);
    }

    /**
     * Handles a slot request. A request that arrives again gets the first decision again, or none while it is queued.
     *
     * @param request the slot request
     * @param nowNanos current time
     */
    public List<SlotDecision> request(SlotRequest request, long nowNanos) {
        List<SlotDecision> out = new ArrayList<>(tick(nowNanos));
        Optional<Optional<SlotDecision>> earlier = decisions.find(request.requestId());
        if (earlier.isPresent()) {
            earlier.get().ifPresent(out::add);
            return out;
        }
        if (queue.contains(request.requestId()) || fromOldIncarnation(request.host(), request.hostIncarnation())) {
            return out;
        }
        recordIncarnation(request.host(), request.hostIncarnation());
        Optional<Failure> refusal = rejection(request, nowNanos);
        if (refusal.isPresent()) {
            out.add(refuse(request, refusal.get(), nowNanos));
            return out;
        }
        queue.add(toQueuedRequest(request, nowNanos), nowNanos);
        grantFreeSlots(nowNanos, out);
        sendPermits(nowNanos, out);
        refuseUnreachable(priority -> priority.compareTo(request.priority()) > 0, nowNanos, out);
        return out;
    }

    /**
     * Releases a slot. Idempotent. The release of an unknown grant is remembered, so that a later report of this grant
     * is ignored.
     *
     * @param release the grant and how it ended
     * @param nowNanos current time
     */
    public List<SlotDecision> release(SlotRelease release, long nowNanos) {
        recordEnded(release.token(), nowNanos);
        grants.end(release.token()).ifPresent(grant -> recordOutcome(grant, release, nowNanos));
        return tick(nowNanos);
    }

    /**
     * Records that a host runs a queued request on a slot that another of its requests has just left. Idempotent.
     *
     * @param takeover the use that ended and the request that runs now
     * @param nowNanos current time
     */
    public List<SlotDecision> takeOver(SlotTakeover takeover, long nowNanos) {
        queue.takeOver(takeover.requestId(), nowNanos);
        SlotToken before = takeover.release().token();
        freeUnusedGrant(takeover.requestId(), nowNanos);
        decisions.put(takeover.requestId(), Optional.empty(), nowNanos);
        Optional<ActiveGrant> grant = grants.end(before);
        if (grant.isPresent()) {
            recordOutcome(grant.get(), takeover.release(), nowNanos);
            grants.add(ActiveGrant.of(
                    before.next(),
                    takeover.requestId(),
                    takeover.requestClass(),
                    grant.get().server(),
                    nowNanos + takeover.remainingNanos() + settings.expirySlackNanos()));
        }
        return tick(nowNanos);
    }

    /**
     * Cancels a slot request that its host withdrew before it received a grant. If a slot was granted in the meantime,
     * it is freed, because the host does not start a request after cancelling it.
     *
     * @param requestId id of the slot request
     * @param nowNanos current time
     */
    public List<SlotDecision> cancel(String requestId, long nowNanos) {
        queue.remove(requestId);
        freeUnusedGrant(requestId, nowNanos);
        decisions.put(requestId, Optional.empty(), nowNanos);
        return tick(nowNanos);
    }

    /**
     * Drops the queued requests of a lost host. Its slots stay in use until the deadlines of their requests.
     *
     * @param host name of the host
     * @param hostIncarnation incarnation that was lost; later incarnations are not affected
     * @param nowNanos current time
     */
    public List<SlotDecision> hostLost(String host, long hostIncarnation, long nowNanos) {
        queue.removeIf(r -> r.host().equals(host) && r.hostIncarnation() <= hostIncarnation);
        recovery.reported(host);
        return tick(nowNanos);
    }

    /**
     * Handles a host's report of the slots it holds. Slots granted by earlier brokers are counted from now on, and
     * every reported slot stays reserved until the deadline in the report.
     *
     * @param report all slots of the host
     * @param nowNanos current time
     */
    public List<SlotDecision> report(HeldSlots report, long nowNanos) {
        if (!fromOldIncarnation(report.host(), report.hostIncarnation())) {
            recordIncarnation(report.host(), report.hostIncarnation());
            recovery.reported(report.host());
            report.slots().forEach(held -> recordHeld(held, nowNanos));
        }
        return tick(nowNanos);
    }

    /**
     * Handles the passage of time: refuses requests that can no longer finish, frees slots whose requests have passed
     * their deadlines, and grants the slots that became free.
     *
     * @param nowNanos current time
     */
    public List<SlotDecision> tick(long nowNanos) {
        List<SlotDecision> out = new ArrayList<>();
        for (QueuedRequest late : queue.removeLate(nowNanos)) {
            out.add(refuse(late.request(), overloaded(late.request(), nowNanos), nowNanos));
        }
        while (true) {
            Optional<ActiveGrant> expired = grants.endExpired(nowNanos);
            if (expired.isEmpty()) {
                break;
            }
            recordEnded(expired.get().token(), nowNanos);
        }
        grantFreeSlots(nowNanos, out);
        sendPermits(nowNanos, out);
        return out;
    }

    private void sendPermits(long nowNanos, List<SlotDecision> out) {
        if (!recovery.complete(nowNanos)) {
            return;
        }
        for (QueuedRequest queued : queue.newPermits(settings.permits())) {
            out.add(new SlotPermit(
                    queued.request().requestId(), queued.request().host()));
        }
    }

    private void grantFreeSlots(long nowNanos, List<SlotDecision> out) {
        if (!recovery.complete(nowNanos)) {
            return;
        }
        while (!queue.isEmpty()) {
            Optional<UpstreamState> server = bestServer(queue.first().request().failureDomain(), nowNanos);
            if (server.isEmpty()) {
                return;
            }
            QueuedRequest next = queue.take(server.get().failureDomain(), nowNanos);
            out.add(grant(next, server.get(), nowNanos));
        }
    }

    /** The upstream with the most free slots in the failure domain, or in any failure domain if that one has none. */
    private Optional<UpstreamState> bestServer(String failureDomain, long nowNanos) {
        UpstreamState best = null;
        int bestScore = 0;
        for (UpstreamState server : servers.values()) {
            int free = server.free(nowNanos);
            int score = server.failureDomain().equals(failureDomain) ? free * SAME_DOMAIN_WEIGHT : free;
            if (score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private SlotGrant grant(QueuedRequest queued, UpstreamState server, long nowNanos) {
        SlotRequest request = queued.request();
        SlotToken token = SlotToken.of(hostName, epoch, nextSequence++);
        long expiry = queued.deadlineNanos() + settings.expirySlackNanos();
        grants.add(ActiveGrant.of(token, request.requestId(), request.requestClass(), server, expiry));
        SlotGrant grant =
                new SlotGrant(request.requestId(), request.host(), server.upstream(), token, expiry - nowNanos);
        decisions.put(request.requestId(), Optional.of(grant), nowNanos);
        return grant;
    }

    private SlotRefusal refuse(SlotRequest request, Failure failure, long nowNanos) {
        SlotRefusal refusal = new SlotRefusal(request.requestId(), request.host(), failure);
        decisions.put(request.requestId(), Optional.of(refusal), nowNanos);
        return refusal;
    }

    private List<SlotDecision> capacityChanged(long nowNanos) {
        List<SlotDecision> out = new ArrayList<>(tick(nowNanos));
        refuseUnreachable(priority -> true, nowNanos, out);
        return out;
    }

    /** Refuses requests from the end of each affected priority while their estimated start is too late. */
    private void refuseUnreachable(Predicate<Priority> affected, long nowNanos, List<SlotDecision> out) {
        for (Priority priority : Priority.values()) {
            while (affected.test(priority)) {
                Optional<QueuedRequest> last = queue.last(priority);
                if (last.isEmpty()
                        || waitNanos(priority, 0, nowNanos) <= last.get().latestStartNanos() - nowNanos) {
                    break;
                }
                SlotRequest request = last.get().request();
                queue.remove(request.requestId());
                out.add(refuse(request, overloaded(request, nowNanos), nowNanos));
            }
        }
    }

    /** The reason why a new request cannot be queued; empty if it can. */
    private Optional<Failure> rejection(SlotRequest request, long nowNanos) {
        if (request.remainingNanos() <= 0) {
            return Optional.of(Failure.of(ErrorCode.DEADLINE_PASSED, request.service()));
        }
        if (request.remainingNanos() < times.meanNanos(request.requestClass())) {
            return Optional.of(Failure.of(ErrorCode.DEADLINE_UNREACHABLE, request.service()));
        }
        if (capacity(nowNanos) == 0) {
            return Optional.of(Failure.of(ErrorCode.NO_UPSTREAM, request.service())
                    .withRetryAfter(RetryDelay.of(
                            request.requestId(), settings.shedRecoveryNanos(), settings.minRetryAfterNanos())));
        }
        boolean free = queue.isEmpty() && bestServer("", nowNanos).isPresent();
        if (free) {
            return Optional.empty();
        }
        long maxWaitNanos = request.remainingNanos() - reserveNanos(request);
        if (queue.size() >= settings.maxQueued() || waitNanos(request.priority(), 1, nowNanos) > maxWaitNanos) {
            return Optional.of(overloaded(request, nowNanos));
        }
        return Optional.empty();
    }

    private Failure overloaded(SlotRequest request, long nowNanos) {
        return Failure.of(ErrorCode.OVERLOADED, request.service())
                .withRetryAfter(
                        RetryDelay.of(request.requestId(), backlogNanos(nowNanos), settings.minRetryAfterNanos()));
    }

    /**
     * Estimated time until the last request of a priority starts after the given number more joined it, in nanoseconds.
     */
    private long waitNanos(Priority priority, int more, long nowNanos) {
        long byWork = workNanos(queue.sizeUpTo(priority) + more, nowNanos);
        long byRate = queue.drainNanos(priority, queue.size(priority) + more, nowNanos);
        return Math.max(byWork, byRate);
    }

    private long workNanos(int requests, long nowNanos) {
        return requests * times.meanNanos() / Math.max(1, capacity(nowNanos));
    }

    /**
     * The part of a deadline that is reserved for running the request, in nanoseconds; at most half of the remaining
     * time unless the mean service time is longer.
     */
    private long reserveNanos(SlotRequest request) {
        long mean = times.meanNanos(request.requestClass());
        long maxReserve = Math.max(mean, request.remainingNanos() / 2);
        return Math.min(times.upperBoundNanos(request.requestClass()), maxReserve);
    }

    private QueuedRequest toQueuedRequest(SlotRequest request, long nowNanos) {
        long deadline = nowNanos + request.remainingNanos();
        long rank = settings.order().rank(nowNanos, deadline);
        return new QueuedRequest(request, rank, nextSequence++, deadline - reserveNanos(request), deadline);
    }

    private void recordOutcome(ActiveGrant grant, SlotRelease release, long nowNanos) {
        switch (release.outcome()) {
            case COMPLETED -> times.recordCompleted(grant.requestClass(), release.serviceNanos());
            case CANCELLED -> times.recordAborted(grant.requestClass(), release.serviceNanos());
            case SHED, FAILED -> grant.server().withholdSlot(nowNanos);
            default -> throw new IllegalStateException("unknown outcome " + release.outcome());
        }
    }

    /** Frees a slot that was granted to a request whose host does not use it. */
    private void freeUnusedGrant(String requestId, long nowNanos) {
        Optional<SlotDecision> earlier = decisions.find(requestId).flatMap(decision -> decision);
        if (earlier.isPresent() && earlier.get() instanceof SlotGrant granted) {
            recordEnded(granted.token(), nowNanos);
            grants.end(granted.token());
        }
    }

    private void recordHeld(HeldSlots.Held held, long nowNanos) {
        long expiry = nowNanos + held.remainingNanos() + settings.expirySlackNanos();
        Optional<ActiveGrant> grant = grants.find(held.token());
        if (grant.isPresent()) {
            grant.get().extendTo(expiry);
            return;
        }
        boolean own = held.token().broker().equals(hostName) && held.token().epoch() == epoch;
        if (own
                || endedUses.find(held.token().first()).orElse(-1)
                        >= held.token().use()) {
            return;
        }
        UpstreamState server = servers.computeIfAbsent(
                held.upstream(), upstream -> UpstreamState.reported(upstream, settings.shedRecoveryNanos()));
        grants.add(ActiveGrant.of(held.token(), held.requestId(), held.requestClass(), server, expiry));
    }

    private void recordEnded(SlotToken token, long nowNanos) {
        int latest = Math.max(token.use(), endedUses.find(token.first()).orElse(0));
        endedUses.put(token.first(), latest, nowNanos);
    }

    private boolean fromOldIncarnation(String host, long incarnation) {
        return incarnation < incarnations.getOrDefault(host, Long.MIN_VALUE);
    }

    private void recordIncarnation(String host, long incarnation) {
        Long earlier = incarnations.put(host, incarnation);
        if (earlier != null && earlier < incarnation) {
            queue.removeIf(r -> r.host().equals(host) && r.hostIncarnation() < incarnation);
        }
    }
}
