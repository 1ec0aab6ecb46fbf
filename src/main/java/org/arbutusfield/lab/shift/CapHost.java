package org.arbutusfield.lab.shift;

import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.shift.CapAllowance;
import org.arbutusfield.shift.CapShares;
import org.arbutusfield.shift.PermitLender;
import org.arbutusfield.shift.ShiftLimiter;

/** One host of a {@link CapRun}, with a clock of its own that drifts. */
final class CapHost {
    private static final double MAX_DRIFT = 0.01;
    private static final int ASK_TICKS = 20;
    private static final int RENEW_TICKS = 100;
    private static final long HEADROOM = Long.MAX_VALUE;

    private final CapRun run;
    private final String name;
    private final String holder;
    private final double rate;
    private final long origin;
    private final ShiftLimiter guard;
    private long lastWorkNanos;
    private long knownTotal;
    private long knownCap;
    private long unsent;
    PermitLender lender;
    boolean paused;
    long revision;

    private CapHost(CapRun run, String name, long incarnation) {
        this.run = run;
        this.name = name;
        this.holder = name + "#" + incarnation;
        this.rate = 1 + MAX_DRIFT * (2 * run.random.nextDouble() - 1);
        this.origin = run.random.nextLong() >> 2;
        this.guard = ShiftLimiter.start(new CapAllowance.Incarnation(incarnation, now()));
        this.lastWorkNanos = now();
    }

    static CapHost start(CapRun run, String name, long incarnation) {
        CapHost host = new CapHost(run, name, incarnation);
        host.apply(run.configuration(), run.revision());
        return host;
    }

    /** This host's monotonic clock. */
    private long now() {
        return origin + (long) (run.timer.nowNanos() * rate);
    }

    void apply(Configuration configuration, long itsRevision) {
        if (itsRevision < revision) {
            return;
        }
        revision = itsRevision;
        guard.apply(configuration, now());
        if (lender != null) {
            lender.apply(CapShares.of(configuration.items(ShiftCap.class).get(0), configuration), now());
        }
    }

    /** The timers of a running process. */
    void work(int tick) {
        guard.tick(now());
        if (now() - lastWorkNanos > 2 * CapRun.TICK.toNanos()) {
            run.deliver(this, () -> apply(run.configuration(), run.revision()));
        }
        lastWorkNanos = now();
        if ((tick + name.hashCode()) % RENEW_TICKS == 0 && !run.storeDown()) {
            renew();
            syncCounter();
        }
        if ((tick + name.hashCode()) % ASK_TICKS == 0) {
            guard.permitRequest(CapRun.SERVICE, CapRun.FROM, CapRun.TO, name, now())
                    .ifPresent(this::send);
        }
    }

    /** Moves what is allowed of the requests; how many it moved. */
    int move(int requests) {
        int moved = 0;
        for (int i = 0; i < requests; i++) {
            moved += run.method == CapRun.Method.SHARES ? moveByShares() : moveByCounter();
        }
        return moved;
    }

    private int moveByShares() {
        guard.countSeen(CapRun.SERVICE, CapRun.FROM, now());
        return guard.take(CapRun.SERVICE, CapRun.FROM, CapRun.TO, now()).isRight() ? 1 : 0;
    }

    private int moveByCounter() {
        if (knownTotal + unsent >= knownCap) {
            return 0;
        }
        unsent++;
        return 1;
    }

    private void syncCounter() {
        run.central.add(unsent, run.timer.nowNanos());
        unsent = 0;
        long total = run.central.total(run.timer.nowNanos());
        long cap = run.cap();
        run.deliverUnreliably(this, () -> {
            knownTotal = total;
            knownCap = cap;
        });
    }

    private void renew() {
        long askedNanos = now();
        long token = run.acquire(holder);
        if (token != 0) {
            run.deliverUnreliably(this, () -> leased(CapRun.hold(token, askedNanos)));
        }
    }

    private void leased(PermitLender.Lease hold) {
        if (lender != null) {
            lender.renew(hold, now());
            return;
        }
        Configuration configuration = run.configuration();
        CapShares terms = CapShares.of(configuration.items(ShiftCap.class).get(0), configuration);
        lender = PermitLender.open(terms, hold, now());
    }

    private void send(PermitLender.Request ask) {
        CapHost to = run.someLender();
        run.deliverUnreliably(to, () -> to.answer(ask, this));
    }

    private void answer(PermitLender.Request ask, CapHost asker) {
        if (lender == null) {
            return;
        }
        lender.lend(ask, HEADROOM, now())
                .forEach(grant -> run.deliverUnreliably(
                        asker, () -> asker.guard.receive(CapRun.SERVICE, CapRun.FROM, CapRun.TO, grant, asker.now())));
    }
}
