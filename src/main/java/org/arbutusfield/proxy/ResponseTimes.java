package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How long the responses to each class of requests recently took, to their beginning or to their end.
 *
 * <p>Problem: a reused connection may have gone silent without notice. Giving it up early leaves time for a retry, but
 * an upstream that is only slow with the request then loses its work, and the retry has too little time for the same.
 *
 * <p>Idea: silence says nothing about a connection until it has lasted longer than such responses have recently taken.
 *
 * <p>Invariant: the slowest response of the last {@code PERIOD} is always covered, and none older than twice that.
 *
 * <p>Example: a class with 2.5 s to respond usually takes 0.6 s, and at times 2.2 s. A request is given 2.5 s on its
 * first connection, not half of it. Where no response took longer than 0.6 s, half of the time is left for a retry.
 *
 * <p>Thread-safe.
 */
final class ResponseTimes {
    private static final Duration PERIOD = Duration.ofSeconds(10);
    /** How much slower than the slowest recent response the next one may be, as a factor. */
    private static final double MARGIN = 1.25;

    private final Map<String, Slowest> slowestByClass = new ConcurrentHashMap<>();

    private ResponseTimes() {}

    static ResponseTimes create() {
        return new ResponseTimes();
    }

    /** Records a response that took this long. */
    void record(RequestHead request, Duration took, long nowNanos) {
        slowestByClass
                .computeIfAbsent(key(request), key -> new Slowest(nowNanos))
                .record(took.toNanos(), nowNanos);
    }

    /**
     * Returns how long to wait for a response on a reused connection before a retry on another one.
     *
     * @param request the request
     * @param left time left until its deadline
     * @param nowNanos current monotonic time
     * @return at least half of the time left; all of it while no response of the class is known
     */
    Duration patience(RequestHead request, Duration left, long nowNanos) {
        Slowest slowest = slowestByClass.get(key(request));
        if (slowest == null) {
            return left;
        }
        long plausible = (long) (slowest.nanos(nowNanos) * MARGIN);
        return Duration.ofNanos(Math.min(left.toNanos(), Math.max(left.toNanos() / 2, plausible)));
    }

    /**
     * Returns how long the slowest recent response took.
     *
     * @param request a request of the class
     * @param nowNanos current monotonic time
     * @return empty if no recent response of the class is known
     */
    Optional<Duration> slowest(RequestHead request, long nowNanos) {
        return Optional.ofNullable(slowestByClass.get(key(request)))
                .map(slowest -> slowest.nanos(nowNanos))
                .filter(nanos -> nanos > 0)
                .map(Duration::ofNanos);
    }

    private static String key(RequestHead request) {
        return request.service().name() + '/' + request.requestClass().name();
    }

    /** The slowest response of the current period and of the one before. */
    private static final class Slowest {
        private long periodStartNanos;
        private long current;
        private long previous;

        private Slowest(long nowNanos) {
            periodStartNanos = nowNanos;
        }

        private synchronized void record(long nanos, long nowNanos) {
            startPeriodIfDue(nowNanos);
            current = Math.max(current, nanos);
        }

        private synchronized long nanos(long nowNanos) {
            startPeriodIfDue(nowNanos);
            return Math.max(current, previous);
        }

        private void startPeriodIfDue(long nowNanos) {
            long elapsed = nowNanos - periodStartNanos;
            if (elapsed < PERIOD.toNanos()) {
                return;
            }
            previous = elapsed < 2 * PERIOD.toNanos() ? current : 0;
            current = 0;
            periodStartNanos = nowNanos;
        }
    }
}
