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

/** The caps on shifted traffic at this host: {@link ShiftLimiter} under a lock, driven by the timer. */
public final class HostShiftLimiter implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(200);

    private final TimerService timer;
    private final ShiftLimiter guard;
    private final TimerService.ScheduledTask ticking;

    private HostShiftLimiter(HostIdentity self, TimerService timer) {
        this.timer = timer;
        this.guard = ShiftLimiter.start(new CapAllowance.Incarnation(self.incarnation(), timer.nowNanos()));
        this.ticking = timer.every(TICK, this::tick);
    }

    /** Starts the gate; a process that just started waits one interval before it moves anything. */
    public static HostShiftLimiter start(HostIdentity self, TimerService timer) {
        return new HostShiftLimiter(self, timer);
    }

    /** Installs the caps of the configuration in force. */
    public synchronized void configure(Configuration configuration) {
        guard.apply(configuration, timer.nowNanos());
    }

    /** Counts a request of the service's callers in a region, moved or not. */
    synchronized void countSeen(String service, String home) {
        guard.countSeen(service, home, timer.nowNanos());
    }

    /** Takes the right to move one request; a move that was not run gives it back. */
    synchronized Either<Failure, Permit> take(String service, String from, String to) {
        return guard.take(service, from, to, timer.nowNanos())
                .map(permit -> (outcome, nanos) -> settle(service, from, to, permit, outcome));
    }

    @Override
    public void close() {
        ticking.cancel();
    }

    private synchronized void tick() {
        guard.tick(timer.nowNanos());
    }

    private synchronized void settle(
            String service, String from, String to, CapAllowance.Permit permit, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.SHED) {
            guard.refund(service, from, to, permit, timer.nowNanos());
        }
    }
}
