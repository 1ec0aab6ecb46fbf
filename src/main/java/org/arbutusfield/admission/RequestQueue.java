package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Queued requests by priority, with the rate at which each priority is served while it has requests waiting. */
final class RequestQueue {
    private final Map<Priority, PriorityLevel> levels = new EnumMap<>(Priority.class);
    private final Map<String, QueuedRequest> byRequest = new HashMap<>();
    private final PriorityQueue<QueuedRequest> byLatestStart = new PriorityQueue<>(QueuedRequest.BY_LATEST_START);
    private final int lowerPriorityInterval;
    private final Set<String> permitted = new HashSet<>();
    private int grantsSinceLowerPriority;

    private RequestQueue(int lowerPriorityInterval) {
        this.lowerPriorityInterval = lowerPriorityInterval;
        for (Priority priority : Priority.values()) {
            levels.put(priority, new PriorityLevel());
        }
    }

    static RequestQueue create(int lowerPriorityInterval) {
        return new RequestQueue(lowerPriorityInterval);
    }

    int size() {
        return byRequest.size();
    }

    boolean isEmpty() {
        return byRequest.isEmpty();
    }

    boolean contains(String requestId) {
        return byRequest.containsKey(requestId);
    }

    /** Number of requests of this and higher priorities. */
    int sizeUpTo(Priority priority) {
        int size = 0;
        for (Map.Entry<Priority, PriorityLevel> level : levels.entrySet()) {
            if (level.getKey().compareTo(priority) <= 0) {
                size += level.getValue().requests.size();
            }
        }
        return size;
    }

    /** Time to serve the given number of requests of one priority at its observed rate, in nanoseconds. */
    long drainNanos(Priority priority, int requests, long nowNanos) {
        PriorityLevel level = levels.get(priority);
        if (level.requests.isEmpty()) {
            return 0;
        }
        double interval = Math.max(level.intervalNanos, (double) (nowNanos - level.lastServedNanos));
        return (long) (requests * interval);
    }

    int size(Priority priority) {
        return levels.get(priority).requests.size();
    }

    Optional<QueuedRequest> last(Priority priority) {
        TreeSet<QueuedRequest> requests = levels.get(priority).requests;
        return requests.isEmpty() ? Optional.empty() : Optional.of(requests.last());
    }

    /**
     * The earliest time at which a queued request can no longer finish; {@link Long#MAX_VALUE} if the queue is empty.
     */
    long firstLatestStartNanos() {
        dropStale();
        return byLatestStart.isEmpty() ? Long.MAX_VALUE : byLatestStart.peek().latestStartNanos();
    }

    void add(QueuedRequest queued, long nowNanos) {
        PriorityLevel level = levels.get(queued.request().priority());
        if (level.requests.isEmpty()) {
            level.lastServedNanos = nowNanos;
        }
        level.requests.add(queued);
        byRequest.put(queued.request().requestId(), queued);
        byLatestStart.add(queued);
    }

    /** The first request of the priority to be served next; the queue must not be empty. */
    QueuedRequest first() {
        return nextLevel().requests.first();
    }

    /**
     * Removes and returns the next request to serve. Prefers the first request near the front whose host is in the
     * given failure domain, unless the front request was skipped too often. The queue must not be empty.
     */
    QueuedRequest take(String failureDomain, long nowNanos) {
        PriorityLevel level = nextLevel();
        grantsSinceLowerPriority =
                grantsSinceLowerPriority >= lowerPriorityInterval - 1 ? 0 : grantsSinceLowerPriority + 1;
        QueuedRequest next = level.choose(failureDomain);
        level.recordServed(nowNanos);
        remove(next.request().requestId());
        return next;
    }

    /** Removes a request that its host runs on a slot it already held; returns empty if the request is not queued. */
    Optional<QueuedRequest> takeOver(String requestId, long nowNanos) {
        QueuedRequest queued = byRequest.get(requestId);
        if (queued != null) {
            grantsSinceLowerPriority = Math.min(grantsSinceLowerPriority + 1, lowerPriorityInterval - 1);
            levels.get(queued.request().priority()).takeOutOfOrder(queued, nowNanos);
        }
        return remove(requestId);
    }

    /**
     * Marks the given number of requests at the front of the highest priority and returns those that were not marked
     * before. Background requests are not marked: taking over a slot, they would run ahead of more urgent requests of
     * other hosts.
     */
    List<QueuedRequest> newPermits(int count) {
        List<QueuedRequest> newlyPermitted = new ArrayList<>();
        int position = 0;
        for (QueuedRequest queued : permitCandidates()) {
            if (++position > count) {
                break;
            }
            if (permitted.add(queued.request().requestId())) {
                newlyPermitted.add(queued);
            }
        }
        return newlyPermitted;
    }

    private Collection<QueuedRequest> permitCandidates() {
        boolean hasUrgent = sizeUpTo(Priority.INTERACTIVE) > 0;
        return hasUrgent ? highestWaiting().requests : List.of();
    }

    private PriorityLevel nextLevel() {
        return grantsSinceLowerPriority >= lowerPriorityInterval - 1 ? longestUnserved() : highestWaiting();
    }

    Optional<QueuedRequest> remove(String requestId) {
        QueuedRequest queued = byRequest.remove(requestId);
        if (queued == null) {
            return Optional.empty();
        }
        permitted.remove(requestId);
        levels.get(queued.request().priority()).requests.remove(queued);
        return Optional.of(queued);
    }

    /** Removes and returns the requests that can no longer finish. */
    List<QueuedRequest> removeLate(long nowNanos) {
        List<QueuedRequest> late = new ArrayList<>();
        while (firstLatestStartNanos() < nowNanos) {
            late.add(byLatestStart.remove());
            remove(late.get(late.size() - 1).request().requestId());
        }
        return late;
    }

    /** Removes the matching requests and returns them in order of service. */
    List<QueuedRequest> removeIf(Predicate<SlotRequest> condition) {
        List<QueuedRequest> removed = new ArrayList<>();
        for (PriorityLevel level : levels.values()) {
            for (QueuedRequest queued : level.requests) {
                if (condition.test(queued.request())) {
                    removed.add(queued);
                }
            }
        }
        removed.forEach(queued -> remove(queued.request().requestId()));
        return removed;
    }

    private PriorityLevel highestWaiting() {
        for (PriorityLevel level : levels.values()) {
            if (!level.requests.isEmpty()) {
                return level;
            }
        }
        throw new IllegalStateException("the queue is empty");
    }

    private PriorityLevel longestUnserved() {
        PriorityLevel oldest = highestWaiting();
        for (PriorityLevel level : levels.values()) {
            if (!level.requests.isEmpty() && level.lastServedNanos < oldest.lastServedNanos) {
                oldest = level;
            }
        }
        return oldest;
    }

    private void dropStale() {
        while (!byLatestStart.isEmpty()
                && !byLatestStart
                        .peek()
                        .equals(byRequest.get(byLatestStart.peek().request().requestId()))) {
            byLatestStart.remove();
        }
    }

    private static final class PriorityLevel {
        private static final double SMOOTHING_FACTOR = 1.0 / 16;
        private static final int LOOK_AHEAD_REQUESTS = 4;
        private static final int MAX_HEAD_SKIPS = 4;

        private final TreeSet<QueuedRequest> requests = new TreeSet<>(QueuedRequest.BY_RANK);
        private double intervalNanos;
        private long lastServedNanos;
        private int headSkips;

        private QueuedRequest choose(String failureDomain) {
            if (headSkips < MAX_HEAD_SKIPS) {
                int position = 0;
                for (QueuedRequest queued : requests) {
                    if (queued.request().failureDomain().equals(failureDomain)) {
                        headSkips = position == 0 ? 0 : headSkips + 1;
                        return queued;
                    }
                    if (++position >= LOOK_AHEAD_REQUESTS) {
                        break;
                    }
                }
            }
            headSkips = 0;
            return requests.first();
        }

        private void takeOutOfOrder(QueuedRequest request, long nowNanos) {
            headSkips = request.equals(requests.first()) ? 0 : headSkips + 1;
            recordServed(nowNanos);
        }

        private void recordServed(long nowNanos) {
            intervalNanos += SMOOTHING_FACTOR * (nowNanos - lastServedNanos - intervalNanos);
            lastServedNanos = nowNanos;
        }
    }
}
