package org.arbutusfield.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.state.SuspectRequest;

/**
 * The suspect requests that a host knows, from the store and from other hosts.
 *
 * <p>An entry that disappears from the store was lifted, by the hosts or by an operator. One that never reached the
 * store, because it was away, ends by itself after a time. Callers pass the current time. Not thread-safe.
 */
final class KnownSuspects {
    private static final Logger LOG = LogManager.getLogger(KnownSuspects.class);
    /** Bounds the memory and the refusals in case the evidence is wrong on a large scale. */
    private static final int MAX_SUSPECTS = 1_000;

    private final Duration lifetime;
    private final Map<String, Known> byFingerprint = new HashMap<>();
    private Map<String, SuspectRequest> stored = Map.of();

    private KnownSuspects(Duration lifetime) {
        this.lifetime = lifetime;
    }

    /** Creates an instance that knows none. */
    static KnownSuspects of(Duration lifetime) {
        return new KnownSuspects(lifetime);
    }

    boolean isEmpty() {
        return byFingerprint.isEmpty();
    }

    /** Returns a suspect request. */
    Optional<SuspectRequest> find(String fingerprint) {
        return Optional.ofNullable(byFingerprint.get(fingerprint)).map(Known::suspect);
    }

    /** Takes over what a host has found; returns true if it tells more than was known. */
    boolean learn(SuspectRequest suspect, long nowNanos) {
        Known known = byFingerprint.get(suspect.fingerprint());
        boolean more =
                known == null || known.suspect.ended().size() < suspect.ended().size();
        if (!more) {
            return false;
        }
        if (known == null && byFingerprint.size() >= MAX_SUSPECTS) {
            LOG.error("event=suspects_full request={} limit={}", suspect.fingerprint(), MAX_SUSPECTS);
            return false;
        }
        byFingerprint.put(suspect.fingerprint(), new Known(suspect, nowNanos));
        LOG.warn(
                "event={} request={} ended={}",
                suspect.quarantined() ? "request_quarantined" : "request_suspect",
                suspect.fingerprint(),
                suspect.ended());
        return true;
    }

    /** Takes over the content of the store; returns the entries that tell more than was known. */
    List<SuspectRequest> storeChanged(Map<String, SuspectRequest> content, long nowNanos) {
        for (String fingerprint : stored.keySet()) {
            if (!content.containsKey(fingerprint)) {
                forget(fingerprint, "removed_from_store");
            }
        }
        List<SuspectRequest> news = new ArrayList<>();
        for (SuspectRequest suspect : content.values()) {
            boolean changed = !suspect.equals(stored.get(suspect.fingerprint()));
            if (changed && learn(suspect, nowNanos)) {
                news.add(suspect);
            }
        }
        stored = content;
        return news;
    }

    /** Forgets a request. */
    void forget(String fingerprint, String reason) {
        if (byFingerprint.remove(fingerprint) != null) {
            LOG.info("event=suspect_cleared request={} reason={}", fingerprint, reason);
        }
    }

    /** Returns the requests whose time is over. */
    List<String> expired(long nowNanos) {
        return byFingerprint.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().learnedNanos > lifetime.toNanos())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns all suspect requests. */
    List<SuspectRequest> all() {
        return byFingerprint.values().stream().map(Known::suspect).toList();
    }

    /**
     * A known suspect.
     *
     * @param suspect the request
     * @param learnedNanos monotonic time at which this host learned as much about it
     */
    private record Known(SuspectRequest suspect, long learnedNanos) {}
}
