package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The time at which an exchange ends, whatever it waits for: the timeout of its route, or the caller's deadline if that
 * is earlier, counted from the head of the request; and the end of the host's exchanges, once the host stops.
 *
 * <p>It holds over all stages up to the end of the upstream's response: while the body of the request arrives, while a
 * placement or a connection is awaited, for all retries and resumptions together, and after the response has begun.
 * Shorter waits within it are set here too, so that none of them can last longer. Once the response is complete, only
 * the caller's reading limits the exchange: a response that is ready is delivered, also when late.
 *
 * <p>Uses the timer of the request, on its event loop.
 */
final class ExchangeDeadline {
    private final DeadlineTimer timer;
    private final long ownEndNanos;
    private final Supplier<Optional<HostStop>> stop;
    private boolean lifted;

    private ExchangeDeadline(DeadlineTimer timer, long ownEndNanos, Supplier<Optional<HostStop>> stop) {
        this.timer = timer;
        this.ownEndNanos = ownEndNanos;
        this.stop = stop;
    }

    /**
     * Creates a deadline; the timer isn't set yet.
     *
     * @param timer timer of the request
     * @param startNanos monotonic time at which the head of the request was read
     * @param timeout time until the end of the exchange
     * @param stop supplies the stop of the host, if it has begun
     */
    static ExchangeDeadline of(
            DeadlineTimer timer, long startNanos, Duration timeout, Supplier<Optional<HostStop>> stop) {
        return new ExchangeDeadline(timer, startNanos + timeout.toNanos(), stop);
    }

    /** Returns the time left. */
    Duration remaining() {
        return Duration.ofNanos(Math.max(0, endNanos() - System.nanoTime()));
    }

    /** Returns true once the exchange must end. */
    boolean passed() {
        return !lifted && endNanos() - System.nanoTime() <= 0;
    }

    /** Returns true once less than some time is left until the exchange must end. */
    boolean passedLess(Duration reserve) {
        return !lifted && endNanos() - reserve.toNanos() - System.nanoTime() <= 0;
    }

    /** Returns true if the request's own deadline ends before the exchanges of a host that stops. */
    boolean endsBefore(HostStop other) {
        return ownEndNanos - other.endNanos() <= 0;
    }

    /** Returns true if the stop of the host ends the exchange before its own deadline. */
    boolean endsWithHost() {
        return stop.get().filter(begun -> !endsBefore(begun)).isPresent();
    }

    /** Called when the host stops, after which the exchange may end earlier. */
    void bringForward() {
        if (!lifted) {
            timer.bringForward(endNanos());
        }
    }

    /** Sets the timer to the deadline. */
    void awaitEnd() {
        timer.set(endNanos());
    }

    /** Sets the timer to expire some time before the deadline. */
    void awaitEndLess(Duration reserve) {
        timer.set(endNanos() - reserve.toNanos());
    }

    /** Sets the timer to expire after some time, or at the deadline if that is earlier. */
    void await(Duration time) {
        awaitUntil(System.nanoTime() + time.toNanos());
    }

    /** Sets the timer to expire at a monotonic time, or at the deadline if that is earlier. */
    void awaitUntil(long nanos) {
        long end = endNanos();
        boolean earlier = lifted || nanos - end < 0;
        timer.set(earlier ? nanos : end);
    }

    /** Called when the upstream's response is complete; from now on the deadline doesn't hold. */
    void lift() {
        lifted = true;
    }

    /** Disables the timer. */
    void clear() {
        timer.clear();
    }

    private long endNanos() {
        return stop.get()
                .filter(begun -> !endsBefore(begun))
                .map(HostStop::endNanos)
                .orElse(ownEndNanos);
    }
}
