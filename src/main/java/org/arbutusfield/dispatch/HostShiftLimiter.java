package org.arbutusfield.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.shift.CapAllowance;
import org.arbutusfield.shift.ShiftLimiter;
import org.arbutusfield.timer.TimerService;

/**
 * Enforces the caps on traffic shifted between regions at this host: a {@link ShiftLimiter} driven by the timer.
 * Thread-safe.
 */
public final class HostShiftLimiter implements AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    private final TimerService timer;
    private final ShiftLimiter limiter;
    private final TimerService.ScheduledTask tickTask;

    private HostShiftLimiter(HostIdentity self, TimerService timer) {
        this.timer = timer;
        this.limiter = ShiftLimiter.start(new CapAllowance.Incarnation(self.incarnation(), timer.nowNanos()));
        this.tickTask = timer.every(TICK_INTERVAL, this::tick);
    }

    /** Creates the limiter; a process that has just started waits one interval before it moves any request. */
    public static HostShiftLimiter start(HostIdentity self, TimerService timer) {
        return new HostShiftLimiter(self, timer);
    }

    /** Installs the caps of the configuration in force. */
    public synchronized void configure(Configuration configuration) {
        limiter.apply(configuration, timer.nowNanos());
    }

    /** Counts a request of the service from callers of the given home region, whether or not it is moved. */
    synchronized void countSeen(String service, String home) {
        limiter.countSeen(service, home, timer.nowNanos());
    }

    /** Takes a permit to move one request; it is refunded if the other region did not run the request. */
    synchronized Either<Failure, Permit> take(String service, String from, String to) {
        return limiter.take(service, from, to, timer.nowNanos())
                .map(permit -> (outcome, nanos) -> handleOutcome(service, from, to, permit, outcome));
    }

    @Override
    public void close() {
        tickTask.cancel();
    }

    private synchronized void tick() {
        limiter.tick(timer.nowNanos());
    }

    private synchronized void handleOutcome(
            String service, String from, String to, CapAllowance.Permit permit, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.SHED) {
            limiter.refund(service, from, to, permit, timer.nowNanos());
        }
    }
}
