package org.arbutusfield.quarantine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that upstreams answered through this host a short time ago. Callers pass the current time. Not
 * thread-safe.
 */
final class RecentAnswers {
    /** Ends of upstreams that are further apart are rarely those of one request. */
    private static final Duration MEMORY = Duration.ofMinutes(1);
    /** Bounds the memory, at some 100 bytes each. */
    private static final int MAX_REQUESTS = 20_000;

    private final Map<String, Long> answeredNanos = new LinkedHashMap<>();

    private RecentAnswers() {}

    /** Creates an instance without answers. */
    static RecentAnswers create() {
        return new RecentAnswers();
    }

    /** Records that a request was answered. */
    void add(String fingerprint, long nowNanos) {
        answeredNanos.remove(fingerprint);
        answeredNanos.put(fingerprint, nowNanos);
        Iterator<Long> oldestFirst = answeredNanos.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean outdated = nowNanos - oldestFirst.next() > MEMORY.toNanos();
            if (!outdated && answeredNanos.size() <= MAX_REQUESTS) {
                break;
            }
            oldestFirst.remove();
        }
    }

    /** Returns true if a request was answered at this time or later. */
    boolean contains(String fingerprint, long sinceNanos) {
        Long answered = answeredNanos.get(fingerprint);
        return answered != null && answered - sinceNanos >= 0;
    }
}
