package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** When each part of the system was harmed, so that bounds on time are checked only where they hold. Thread-safe. */
final class Disruptions {
    /** The store or all links to it. */
    static final String STORE = "store";
    /** Any upstream or its link. */
    static final String UPSTREAMS = "upstreams";

    private static final long OPEN = Long.MAX_VALUE;

    private final Map<String, List<Span>> spans = new ConcurrentHashMap<>();

    private Disruptions() {}

    /** Nothing harmed yet. */
    static Disruptions none() {
        return new Disruptions();
    }

    /** One time in which a part was harmed; monotonic nanoseconds. */
    private static final class Span {
        private final long from;
        private volatile long to = OPEN;

        private Span(long from) {
            this.from = from;
        }
    }

    /** Notes the beginning of harm; the returned action notes its end. */
    Runnable begin(String part) {
        Span span = new Span(System.nanoTime());
        List<Span> list = spans.computeIfAbsent(part, p -> new ArrayList<>());
        synchronized (list) {
            list.add(span);
        }
        return () -> span.to = System.nanoTime();
    }

    /** True when the part was unharmed from {@code before} ahead of the first time until the second. */
    boolean calm(String part, Duration before, long fromNanos, long toNanos) {
        List<Span> list = spans.getOrDefault(part, List.of());
        long from = fromNanos - before.toNanos();
        synchronized (list) {
            return list.stream().noneMatch(span -> span.from < toNanos && (span.to == OPEN || span.to > from));
        }
    }
}
