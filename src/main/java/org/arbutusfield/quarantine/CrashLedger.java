package org.arbutusfield.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.proxy.CrashGuard;
import org.arbutusfield.state.SuspectRequest;
import org.arbutusfield.state.UpstreamStart;

/**
 * The upstreams that ended while they ran a request, for each request that was reported to this host.
 *
 * <p>Problem: an upstream that ends takes every request with it that it was running. The one that ended it must be told
 * from those that were lost beside it, although each of them comes again.
 *
 * <p>Idea: an upstream counts only if the request was sent to it after the one counted before had ended. Many upstreams
 * that end at once, as those of a failure domain do, therefore count as one. An innocent request that comes again is
 * answered sooner or later, which clears it; the one that ends its upstreams never is. For the last end, which decides,
 * the request must have been sent after all hosts were told to report its answers.
 *
 * <p>Invariants: each start of an upstream counts at most once for a request. Once a request is known to end its
 * upstreams whoever sends it, those ends count against no other request. A request with an answer has no ends before
 * it.
 *
 * <p>Example: requests A and B run at upstream 1 when it ends. Both are sent again, A to upstream 2 and B to upstream
 * 3. Upstream 2 ends, and B is answered. B has no ends any more, and A has two.
 *
 * <p>Callers pass the current time. Not thread-safe.
 */
final class CrashLedger {
    /** Long enough for a request that comes only now and then, and for one whose quarantine has ended. */
    private static final Duration MEMORY = Duration.ofHours(1);
    /** Bounds the memory; the request that was first reported longest ago is forgotten first. */
    private static final int MAX_REQUESTS = 10_000;
    /** Ends kept for one request, the latest ones. More are no better proof. */
    private static final int MAX_ENDS = 16;

    private final Map<String, List<CrashedRun>> runs = new LinkedHashMap<>();
    private final Map<UpstreamStart, String> causes = new HashMap<>();
    /** Monotonic time from which all hosts report answers to a request, by fingerprint. */
    private final Map<String, Long> watchedSince = new HashMap<>();

    private CrashLedger() {}

    /** Creates an empty ledger. */
    static CrashLedger create() {
        return new CrashLedger();
    }

    /**
     * Records that an upstream ended while it ran a request.
     *
     * @return the upstreams that have ended under the request one after the other, with this one if it counts
     */
    List<UpstreamStart> record(String fingerprint, CrashedRun run, long nowNanos) {
        discardOldest(nowNanos);
        List<CrashedRun> known = runs.computeIfAbsent(fingerprint, key -> new ArrayList<>());
        boolean duplicate = known.stream().anyMatch(other -> other.upstream().equals(run.upstream()));
        boolean otherCause = !causes.getOrDefault(run.upstream(), fingerprint).equals(fingerprint);
        if (!duplicate && !otherCause) {
            known.add(run);
            known.sort(Comparator.comparingLong(CrashedRun::endedNanos));
        }
        if (known.size() > MAX_ENDS) {
            known.remove(0);
        }
        return consecutive(known, Optional.ofNullable(watchedSince.get(fingerprint)));
    }

    /**
     * Tells from when on all hosts report the answers to a request that is suspect.
     *
     * @param sinceNanos monotonic time
     */
    void answersReportedSince(String fingerprint, long sinceNanos) {
        watchedSince.putIfAbsent(fingerprint, sinceNanos);
    }

    /** Returns when the first upstream ended under a request; now if none is known. */
    long firstEndNanos(String fingerprint, long nowNanos) {
        List<CrashedRun> known = runs.getOrDefault(fingerprint, List.of());
        return known.isEmpty() ? nowNanos : known.get(0).endedNanos();
    }

    /** Takes over what another host has found. */
    void adopt(SuspectRequest suspect, long nowNanos) {
        List<CrashedRun> known = runs.computeIfAbsent(suspect.fingerprint(), key -> new ArrayList<>());
        Set<UpstreamStart> starts = new HashSet<>();
        known.forEach(run -> starts.add(run.upstream()));
        // They ended one after the other some time ago; what is reported from now on came later.
        long earlier = nowNanos - MEMORY.toNanos() / 2;
        for (UpstreamStart start : suspect.ended()) {
            earlier++;
            if (starts.add(start)) {
                known.add(new CrashedRun(start, earlier, earlier));
            }
        }
        known.sort(Comparator.comparingLong(CrashedRun::endedNanos));
        if (suspect.quarantined() && !suspect.fingerprint().endsWith(CrashGuard.OF_CALLER)) {
            explain(suspect);
        }
    }

    /** Forgets the ends of a request that an upstream has answered. */
    void clear(String fingerprint) {
        runs.remove(fingerprint);
        watchedSince.remove(fingerprint);
        causes.values().removeIf(fingerprint::equals);
    }

    /** No longer counts these ends against other requests. */
    private void explain(SuspectRequest suspect) {
        suspect.ended().forEach(start -> causes.putIfAbsent(start, suspect.fingerprint()));
        Set<UpstreamStart> explained = Set.copyOf(suspect.ended());
        runs.forEach((fingerprint, known) -> {
            if (!fingerprint.equals(suspect.fingerprint())) {
                known.removeIf(run -> explained.contains(run.upstream()));
            }
        });
        runs.values().removeIf(List::isEmpty);
    }

    private static List<UpstreamStart> consecutive(List<CrashedRun> byEnd, Optional<Long> watched) {
        List<UpstreamStart> counted = new ArrayList<>();
        long lastEnd = 0;
        for (CrashedRun run : byEnd) {
            boolean afterLast = counted.isEmpty() || run.sentNanos() - lastEnd >= 0;
            boolean decides = counted.size() == SuspectRequest.QUARANTINE_AFTER_ENDS - 1;
            boolean watchedThen = watched.isPresent() && run.sentNanos() - watched.get() >= 0;
            if (afterLast && (!decides || watchedThen)) {
                counted.add(run.upstream());
                lastEnd = run.endedNanos();
            }
        }
        return counted;
    }

    private void discardOldest(long nowNanos) {
        Iterator<Map.Entry<String, List<CrashedRun>>> oldestFirst =
                runs.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, List<CrashedRun>> oldest = oldestFirst.next();
            List<CrashedRun> known = oldest.getValue();
            boolean outdated =
                    known.isEmpty() || nowNanos - known.get(known.size() - 1).endedNanos() > MEMORY.toNanos();
            if (!outdated && runs.size() < MAX_REQUESTS) {
                break;
            }
            known.forEach(run -> causes.remove(run.upstream()));
            watchedSince.remove(oldest.getKey());
            oldestFirst.remove();
        }
    }
}
