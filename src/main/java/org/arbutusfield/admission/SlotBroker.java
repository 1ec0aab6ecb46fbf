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
 * Shares the slots of one service's servers in one region among the entry hosts.
 *
 * <p><b>Problem.</b> Many hosts send to servers that run a handful of requests each. A host that chooses by reports of
 * load acts on the past: all hosts see the same idle server and send to it together, while other servers idle. A host
 * that counts only its own requests does not see those of the others. In both cases servers shed work although slots
 * are free, and a request waits behind one server's slots instead of behind all of them.
 *
 * <p><b>Idea.</b> One host of the region runs a broker, which holds the only queue for all slots of these servers. A
 * host asks it for a slot, gets the name of a server and a token, talks to that server itself, and gives the slot back
 * with the outcome. So the number in use is known by counting and not by measuring. A request is refused when it comes
 * if the work ahead of it, divided by the slots, leaves too little of its deadline; and later as soon as the same
 * becomes known because work of higher priority has come or the server got slower.
 *
 * <p>Between the end of one request and the start of the next, release, grant and request travel one after the other,
 * and the slot is idle. So the first waiting requests get permits: a host that ends a request runs its own permitted
 * one on the same slot at once and tells the broker afterwards, if the server is near. The number of permits bounds how
 * many places in the queue such a request skips, and a slot goes back to the broker after a few uses.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>The live grants of a server never outnumber its slots, unless its slots were lowered after they were granted or
 *       hosts reported grants of an earlier broker.
 *   <li>A drained or withdrawn server gets no grant.
 *   <li>A request is granted or refused, never both; a repeated question gets the first answer again.
 *   <li>A slot is free again when its holder releases it or when the deadline of its request has passed, and not when
 *       its holder is lost, for the server may still run the request.
 *   <li>While a new broker waits for reports of the slots in use it grants nothing.
 * </ul>
 *
 * <p><b>Example.</b> Two servers of three slots, mean service time 50 ms, six requests running, four waiting. A request
 * with 300 ms left waits for about five completions, 5 x 50 / 6 = 42 ms; it is queued. With 60 waiting the wait is 508
 * ms; the request is refused at once and told to come back in 508 to 1016 ms.
 *
 * <p>The class has no clock, thread or random source: each method takes the time and returns what is to be sent. It is
 * not thread-safe; its owner calls it under one lock.
 */
public final class SlotBroker {
    private static final int NEAR_WEIGHT = 1_000;

    private final BrokerSettings settings;
    private final String name;
    private final long epoch;
    private final BrokerRecovery recovery;
    private final SortedMap<String, ServerState> servers = new TreeMap<>();
    private final RequestQueue queue;
    private final GrantTable grants = GrantTable.create();
    private final ServiceTimes times = ServiceTimes.create();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final ExpiringMap<String, Optional<SlotDecision>> answered;
    private final ExpiringMap<SlotToken, Integer> ended;
    private long nextSequence;

    private SlotBroker(BrokerSettings settings, String name, long epoch, BrokerRecovery recovery) {
        this.settings = settings;
        this.name = name;
        this.epoch = epoch;
        this.recovery = recovery;
        this.queue = RequestQueue.create(settings.lowerPriorityInterval());
        this.answered = ExpiringMap.retaining(settings.answerRetentionNanos());
        this.ended = ExpiringMap.retaining(settings.answerRetentionNanos());
    }

    /**
     * A broker that takes over: it grants nothing until all the hosts reported the slots they hold or the grace time is
     * over.
     *
     * @param settings tuning
     * @param name name of the host that runs the broker
     * @param epoch incarnation of the broker; never used before by this host
     * @param liveHosts hosts that may hold slots
     * @param nowNanos the time
     */
    public static SlotBroker create(
            BrokerSettings settings, String name, long epoch, Set<String> liveHosts, long nowNanos) {
        return new SlotBroker(
                settings, name, epoch, BrokerRecovery.awaiting(liveHosts, nowNanos + settings.reportGraceNanos()));
    }

    /** Slots in use on a server, counting those that hosts reported. */
    public int inUse(String upstream) {
        return servers.containsKey(upstream) ? servers.get(upstream).inUse() : 0;
    }

    /** What a slot is used for; empty when the use is not known or has ended. */
    public Optional<SlotUse> useOf(SlotToken token) {
        return grants.find(token)
                .filter(grant -> grant.token().equals(token))
                .map(grant -> new SlotUse(grant.server().upstream(), grant.requestClass()));
    }

    /** Requests that wait. */
    public int backlog() {
        return queue.size();
    }

    /** Slots that may be used now, in use or not. */
    public int capacity(long nowNanos) {
        int sum = 0;
        for (ServerState server : servers.values()) {
            sum += server.capacity(nowNanos);
        }
        return sum;
    }

    /** Time that the waiting work takes on the present slots, in nanoseconds. */
    public long backlogNanos(long nowNanos) {
        return workNanos(queue.size(), nowNanos);
    }

    /** When {@link #tick} must be called next if nothing else happens; {@link Long#MAX_VALUE} for never. */
    public long nextWakeNanos(long nowNanos) {
        long wake = Math.min(grants.nextExpiryNanos(), queue.firstLatestStartNanos() + 1);
        if (queue.isEmpty()) {
            return grants.nextExpiryNanos();
        }
        for (ServerState server : servers.values()) {
            wake = Math.min(wake, server.nextRecoveryNanos(nowNanos));
        }
        return Math.min(wake, recovery.endNanos(nowNanos));
    }

    /**
     * Installs the servers of the configuration in force. Servers not named are withdrawn. Takes effect at once.
     *
     * @param to all servers of the broker
     * @param nowNanos the time
     */
    public List<SlotDecision> configure(Collection<SlotServer> to, long nowNanos) {
        Set<String> named = new HashSet<>();
        for (SlotServer server : to) {
            named.add(server.upstream());
            servers.computeIfAbsent(server.upstream(), upstream -> ServerState.of(server, settings.shedRecoveryNanos()))
                    .configure(server);
        }
        for (ServerState server : servers.values()) {
            if (!named.contains(server.upstream())) {
                server.withdraw();
            }
        }
        servers.values().removeIf(server -> server.withdrawn() && server.inUse() == 0);
        return capacityChanged(nowNanos);
    }

    /**
     * Limits a server from outside: 0 for one that health checks call dead, few slots for one with cold caches.
     *
     * @param upstream name of the server; ignored when unknown
     * @param slots most slots to use; {@link Integer#MAX_VALUE} lifts the limit
     * @param nowNanos the time
     */
    public List<SlotDecision> limit(String upstream, int slots, long nowNanos) {
        if (servers.containsKey(upstream)) {
            servers.get(upstream).limitTo(slots);
        }
        return capacityChanged(nowNanos);
    }

    /**
     * Handles a host's question. A repeated one gets the first answer again, or none while it waits.
     *
     * @param request the question
     * @param nowNanos the time
     */
    public List<SlotDecision> request(SlotRequest request, long nowNanos) {
        List<SlotDecision> out = new ArrayList<>(tick(nowNanos));
        Optional<Optional<SlotDecision>> earlier = answered.find(request.requestId());
        if (earlier.isPresent()) {
            earlier.get().ifPresent(out::add);
            return out;
        }
        if (queue.contains(request.requestId()) || outdated(request.host(), request.hostIncarnation())) {
            return out;
        }
        noteIncarnation(request.host(), request.hostIncarnation());
        Optional<Failure> refusal = unacceptable(request, nowNanos);
        if (refusal.isPresent()) {
            out.add(refuse(request, refusal.get(), nowNanos));
            return out;
        }
        queue.add(waiting(request, nowNanos), nowNanos);
        dispatch(nowNanos, out);
        permit(nowNanos, out);
        refuseHopeless(priority -> priority.compareTo(request.priority()) > 0, nowNanos, out);
        return out;
    }

    /**
     * Takes a slot back. Idempotent; a release of an unknown grant is remembered, so that a later report of it is not
     * believed.
     *
     * @param release the grant and how it ended
     * @param nowNanos the time
     */
    public List<SlotDecision> release(SlotRelease release, long nowNanos) {
        noteEnded(release.token(), nowNanos);
        grants.end(release.token()).ifPresent(grant -> learn(grant, release, nowNanos));
        return tick(nowNanos);
    }

    /**
     * Notes that a host runs a waiting request on a slot that another of its requests left. Idempotent.
     *
     * @param takeover the use that ended and the request that runs now
     * @param nowNanos the time
     */
    public List<SlotDecision> takeOver(SlotTakeover takeover, long nowNanos) {
        queue.takeOver(takeover.requestId(), nowNanos);
        SlotToken before = takeover.release().token();
        freeGranted(takeover.requestId(), nowNanos);
        answered.put(takeover.requestId(), Optional.empty(), nowNanos);
        Optional<ActiveGrant> grant = grants.end(before);
        if (grant.isPresent()) {
            learn(grant.get(), takeover.release(), nowNanos);
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
     * Ends a host's question that it withdrew before it saw a grant. A slot granted meanwhile is free again, for the
     * host starts nothing for a question that it cancelled.
     *
     * @param requestId the question
     * @param nowNanos the time
     */
    public List<SlotDecision> cancel(String requestId, long nowNanos) {
        queue.remove(requestId);
        freeGranted(requestId, nowNanos);
        answered.put(requestId, Optional.empty(), nowNanos);
        return tick(nowNanos);
    }

    /**
     * Drops the questions of a host that is lost. Its slots stay taken until the deadlines of their requests.
     *
     * @param host name of the host
     * @param hostIncarnation incarnation that is lost; a later one is not touched
     * @param nowNanos the time
     */
    public List<SlotDecision> hostLost(String host, long hostIncarnation, long nowNanos) {
        queue.removeIf(r -> r.host().equals(host) && r.hostIncarnation() <= hostIncarnation);
        recovery.reported(host);
        return tick(nowNanos);
    }

    /**
     * Takes a host's report of the slots it holds: those of earlier brokers are counted from now on, and all are kept
     * until the deadlines that the report names.
     *
     * @param report all slots of the host
     * @param nowNanos the time
     */
    public List<SlotDecision> report(HeldSlots report, long nowNanos) {
        if (!outdated(report.host(), report.hostIncarnation())) {
            noteIncarnation(report.host(), report.hostIncarnation());
            recovery.reported(report.host());
            report.slots().forEach(held -> adopt(held, nowNanos));
        }
        return tick(nowNanos);
    }

    /**
     * Does what time alone brings: refuses requests that can no longer finish, frees slots whose requests' deadlines
     * passed, and grants what became free.
     *
     * @param nowNanos the time
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
            noteEnded(expired.get().token(), nowNanos);
        }
        dispatch(nowNanos, out);
        permit(nowNanos, out);
        return out;
    }

    private void permit(long nowNanos, List<SlotDecision> out) {
        if (!recovery.over(nowNanos)) {
            return;
        }
        for (QueuedRequest waiting : queue.permit(settings.permits())) {
            out.add(new SlotPermit(
                    waiting.request().requestId(), waiting.request().host()));
        }
    }

    private void dispatch(long nowNanos, List<SlotDecision> out) {
        if (!recovery.over(nowNanos)) {
            return;
        }
        while (!queue.isEmpty()) {
            Optional<ServerState> server = nearest(queue.first().request().failureDomain(), nowNanos);
            if (server.isEmpty()) {
                return;
            }
            QueuedRequest next = queue.take(server.get().failureDomain(), nowNanos);
            out.add(grant(next, server.get(), nowNanos));
        }
    }

    /** The server with most free slots in the failure domain, or else in any. */
    private Optional<ServerState> nearest(String failureDomain, long nowNanos) {
        ServerState best = null;
        int bestScore = 0;
        for (ServerState server : servers.values()) {
            int free = server.free(nowNanos);
            int score = server.failureDomain().equals(failureDomain) ? free * NEAR_WEIGHT : free;
            if (score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private SlotGrant grant(QueuedRequest waiting, ServerState server, long nowNanos) {
        SlotRequest request = waiting.request();
        SlotToken token = SlotToken.of(name, epoch, nextSequence++);
        long expiry = waiting.deadlineNanos() + settings.expirySlackNanos();
        grants.add(ActiveGrant.of(token, request.requestId(), request.requestClass(), server, expiry));
        SlotGrant grant =
                new SlotGrant(request.requestId(), request.host(), server.upstream(), token, expiry - nowNanos);
        answered.put(request.requestId(), Optional.of(grant), nowNanos);
        return grant;
    }

    private SlotRefusal refuse(SlotRequest request, Failure failure, long nowNanos) {
        SlotRefusal refusal = new SlotRefusal(request.requestId(), request.host(), failure);
        answered.put(request.requestId(), Optional.of(refusal), nowNanos);
        return refusal;
    }

    private List<SlotDecision> capacityChanged(long nowNanos) {
        List<SlotDecision> out = new ArrayList<>(tick(nowNanos));
        refuseHopeless(priority -> true, nowNanos, out);
        return out;
    }

    /** Refuses the last ones of the priorities concerned as long as their turn comes too late. */
    private void refuseHopeless(Predicate<Priority> concerned, long nowNanos, List<SlotDecision> out) {
        for (Priority priority : Priority.values()) {
            while (concerned.test(priority)) {
                Optional<QueuedRequest> last = queue.last(priority);
                if (last.isEmpty()
                        || turnNanos(priority, 0, nowNanos) <= last.get().latestStartNanos() - nowNanos) {
                    break;
                }
                SlotRequest request = last.get().request();
                queue.remove(request.requestId());
                out.add(refuse(request, overloaded(request, nowNanos), nowNanos));
            }
        }
    }

    /** Why a new request cannot be queued, if so. */
    private Optional<Failure> unacceptable(SlotRequest request, long nowNanos) {
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
        boolean free = queue.isEmpty() && nearest("", nowNanos).isPresent();
        if (free) {
            return Optional.empty();
        }
        long allowance = request.remainingNanos() - reserveNanos(request);
        if (queue.size() >= settings.maxQueued() || turnNanos(request.priority(), 1, nowNanos) > allowance) {
            return Optional.of(overloaded(request, nowNanos));
        }
        return Optional.empty();
    }

    private Failure overloaded(SlotRequest request, long nowNanos) {
        return Failure.of(ErrorCode.OVERLOADED, request.service())
                .withRetryAfter(
                        RetryDelay.of(request.requestId(), backlogNanos(nowNanos), settings.minRetryAfterNanos()));
    }

    /** Estimated time until the last of a priority is served after so many more joined it, in nanoseconds. */
    private long turnNanos(Priority priority, int more, long nowNanos) {
        long byWork = workNanos(queue.sizeUpTo(priority) + more, nowNanos);
        long byRate = queue.drainNanos(priority, queue.size(priority) + more, nowNanos);
        return Math.max(byWork, byRate);
    }

    private long workNanos(int requests, long nowNanos) {
        return requests * times.meanNanos() / Math.max(1, capacity(nowNanos));
    }

    /** The part of a deadline kept for running the request; at most half of it unless the mean is longer. */
    private long reserveNanos(SlotRequest request) {
        long mean = times.meanNanos(request.requestClass());
        long most = Math.max(mean, request.remainingNanos() / 2);
        return Math.min(times.safeNanos(request.requestClass()), most);
    }

    private QueuedRequest waiting(SlotRequest request, long nowNanos) {
        long deadline = nowNanos + request.remainingNanos();
        long rank = settings.order().rank(nowNanos, deadline);
        return new QueuedRequest(request, rank, nextSequence++, deadline - reserveNanos(request), deadline);
    }

    private void learn(ActiveGrant grant, SlotRelease release, long nowNanos) {
        switch (release.outcome()) {
            case COMPLETED -> times.completed(grant.requestClass(), release.serviceNanos());
            case CANCELLED -> times.cutOff(grant.requestClass(), release.serviceNanos());
            case SHED, FAILED -> grant.server().lower(nowNanos);
            default -> throw new IllegalStateException("unknown outcome " + release.outcome());
        }
    }

    /** Frees a slot that was granted to a request whose host does not use it. */
    private void freeGranted(String requestId, long nowNanos) {
        Optional<SlotDecision> earlier = answered.find(requestId).flatMap(answer -> answer);
        if (earlier.isPresent() && earlier.get() instanceof SlotGrant granted) {
            noteEnded(granted.token(), nowNanos);
            grants.end(granted.token());
        }
    }

    private void adopt(HeldSlots.Held held, long nowNanos) {
        long expiry = nowNanos + held.remainingNanos() + settings.expirySlackNanos();
        Optional<ActiveGrant> known = grants.find(held.token());
        if (known.isPresent()) {
            known.get().extendTo(expiry);
            return;
        }
        boolean own = held.token().broker().equals(name) && held.token().epoch() == epoch;
        if (own || ended.find(held.token().first()).orElse(-1) >= held.token().use()) {
            return;
        }
        ServerState server = servers.computeIfAbsent(
                held.upstream(), upstream -> ServerState.unknown(upstream, settings.shedRecoveryNanos()));
        grants.add(ActiveGrant.of(held.token(), held.requestId(), held.requestClass(), server, expiry));
    }

    private void noteEnded(SlotToken token, long nowNanos) {
        int latest = Math.max(token.use(), ended.find(token.first()).orElse(0));
        ended.put(token.first(), latest, nowNanos);
    }

    private boolean outdated(String host, long incarnation) {
        return incarnation < incarnations.getOrDefault(host, Long.MIN_VALUE);
    }

    private void noteIncarnation(String host, long incarnation) {
        Long earlier = incarnations.put(host, incarnation);
        if (earlier != null && earlier < incarnation) {
            queue.removeIf(r -> r.host().equals(host) && r.hostIncarnation() < incarnation);
        }
    }
}
