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

/** Waiting requests by priority, with the rate at which each priority is served while it waits. */
final class RequestQueue {
    private final Map<Priority, Line> lines = new EnumMap<>(Priority.class);
    private final Map<String, QueuedRequest> byRequest = new HashMap<>();
    private final PriorityQueue<QueuedRequest> byLatestStart = new PriorityQueue<>(QueuedRequest.BY_LATEST_START);
    private final int lowerPriorityInterval;
    private final Set<String> permitted = new HashSet<>();
    private int sinceLower;

    private RequestQueue(int lowerPriorityInterval) {
        this.lowerPriorityInterval = lowerPriorityInterval;
        for (Priority priority : Priority.values()) {
            lines.put(priority, new Line());
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

    /** Requests of this and higher priorities. */
    int sizeUpTo(Priority priority) {
        int size = 0;
        for (Map.Entry<Priority, Line> line : lines.entrySet()) {
            if (line.getKey().compareTo(priority) <= 0) {
                size += line.getValue().requests.size();
            }
        }
        return size;
    }

    /** Time that the given number of requests of one priority take to be served at the rate seen, in nanoseconds. */
    long drainNanos(Priority priority, int requests, long nowNanos) {
        Line line = lines.get(priority);
        if (line.requests.isEmpty()) {
            return 0;
        }
        double interval = Math.max(line.intervalNanos, (double) (nowNanos - line.anchorNanos));
        return (long) (requests * interval);
    }

    int size(Priority priority) {
        return lines.get(priority).requests.size();
    }

    Optional<QueuedRequest> last(Priority priority) {
        TreeSet<QueuedRequest> requests = lines.get(priority).requests;
        return requests.isEmpty() ? Optional.empty() : Optional.of(requests.last());
    }

    /** When the first waiting request can no longer finish; {@link Long#MAX_VALUE} when none waits. */
    long firstLatestStartNanos() {
        dropStale();
        return byLatestStart.isEmpty() ? Long.MAX_VALUE : byLatestStart.peek().latestStartNanos();
    }

    void add(QueuedRequest waiting, long nowNanos) {
        Line line = lines.get(waiting.request().priority());
        if (line.requests.isEmpty()) {
            line.anchorNanos = nowNanos;
        }
        line.requests.add(waiting);
        byRequest.put(waiting.request().requestId(), waiting);
        byLatestStart.add(waiting);
    }

    /** The request whose turn it is; the queue must not be empty. */
    QueuedRequest first() {
        return turn().requests.first();
    }

    /**
     * Takes a request to be served: the first whose host is in the failure domain, if it is near the front and the
     * front was not overtaken too often, else the one whose turn it is. The queue must not be empty.
     */
    QueuedRequest take(String failureDomain, long nowNanos) {
        Line line = turn();
        sinceLower = sinceLower >= lowerPriorityInterval - 1 ? 0 : sinceLower + 1;
        QueuedRequest next = line.choose(failureDomain);
        line.served(nowNanos);
        remove(next.request().requestId());
        return next;
    }

    /** Removes a request that its host runs on a slot it had; empty when it does not wait. */
    Optional<QueuedRequest> takeOver(String requestId, long nowNanos) {
        QueuedRequest waiting = byRequest.get(requestId);
        if (waiting != null) {
            sinceLower = Math.min(sinceLower + 1, lowerPriorityInterval - 1);
            lines.get(waiting.request().priority()).overtake(waiting, nowNanos);
        }
        return remove(requestId);
    }

    /**
     * Marks and returns the requests among so many at the front of the highest priority that were not marked before.
     * Leisure requests are not marked: one that takes over a slot would overtake the more urgent ones of other hosts.
     */
    List<QueuedRequest> permit(int front) {
        List<QueuedRequest> fresh = new ArrayList<>();
        int position = 0;
        for (QueuedRequest waiting : urgentFront()) {
            if (++position > front) {
                break;
            }
            if (permitted.add(waiting.request().requestId())) {
                fresh.add(waiting);
            }
        }
        return fresh;
    }

    private Collection<QueuedRequest> urgentFront() {
        boolean urgent = sizeUpTo(Priority.INTERACTIVE) > 0;
        return urgent ? highest().requests : List.of();
    }

    private Line turn() {
        return sinceLower >= lowerPriorityInterval - 1 ? longestUnserved() : highest();
    }

    Optional<QueuedRequest> remove(String requestId) {
        QueuedRequest waiting = byRequest.remove(requestId);
        if (waiting == null) {
            return Optional.empty();
        }
        permitted.remove(requestId);
        lines.get(waiting.request().priority()).requests.remove(waiting);
        return Optional.of(waiting);
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

    /** Removes the requests that match and returns them in order of service. */
    List<QueuedRequest> removeIf(Predicate<SlotRequest> condition) {
        List<QueuedRequest> removed = new ArrayList<>();
        for (Line line : lines.values()) {
            for (QueuedRequest waiting : line.requests) {
                if (condition.test(waiting.request())) {
                    removed.add(waiting);
                }
            }
        }
        removed.forEach(waiting -> remove(waiting.request().requestId()));
        return removed;
    }

    private Line highest() {
        for (Line line : lines.values()) {
            if (!line.requests.isEmpty()) {
                return line;
            }
        }
        throw new IllegalStateException("the queue is empty");
    }

    private Line longestUnserved() {
        Line oldest = highest();
        for (Line line : lines.values()) {
            if (!line.requests.isEmpty() && line.anchorNanos < oldest.anchorNanos) {
                oldest = line;
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

    private static final class Line {
        private static final double GAIN = 1.0 / 16;
        private static final int LOOK_AHEAD = 4;
        private static final int MAX_OVERTAKEN = 4;

        private final TreeSet<QueuedRequest> requests = new TreeSet<>(QueuedRequest.BY_RANK);
        private double intervalNanos;
        private long anchorNanos;
        private int overtaken;

        private QueuedRequest choose(String failureDomain) {
            if (overtaken < MAX_OVERTAKEN) {
                int position = 0;
                for (QueuedRequest waiting : requests) {
                    if (waiting.request().failureDomain().equals(failureDomain)) {
                        overtaken = position == 0 ? 0 : overtaken + 1;
                        return waiting;
                    }
                    if (++position >= LOOK_AHEAD) {
                        break;
                    }
                }
            }
            overtaken = 0;
            return requests.first();
        }

        private void overtake(QueuedRequest by, long nowNanos) {
            overtaken = by.equals(requests.first()) ? 0 : overtaken + 1;
            served(nowNanos);
        }

        private void served(long nowNanos) {
            intervalNanos += GAIN * (nowNanos - anchorNanos - intervalNanos);
            anchorNanos = nowNanos;
        }
    }
}
