package org.arbutusfield.lab.shift;

import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.shift.CapAllowance;
import org.arbutusfield.shift.CapShares;
import org.arbutusfield.shift.PermitLender;
import org.arbutusfield.shift.ShiftLimiter;

/** One host of a {@link CapSimulation}, with its own drifting clock. */
final class CapSimulationHost {
    private static final double MAX_DRIFT = 0.01;
    private static final int REQUEST_INTERVAL_TICKS = 20;
    private static final int RENEWAL_INTERVAL_TICKS = 100;
    private static final long HEADROOM = Long.MAX_VALUE;

    private final CapSimulation simulation;
    private final String name;
    private final String holder;
    private final double clockRate;
    private final long clockOrigin;
    private final ShiftLimiter limiter;
    private long lastTickNanos;
    private long knownTotal;
    private long knownCap;
    private long unreported;
    PermitLender lender;
    boolean paused;
    long revision;

    private CapSimulationHost(CapSimulation simulation, String name, long incarnation) {
        this.simulation = simulation;
        this.name = name;
        this.holder = name + "#" + incarnation;
        this.clockRate = 1 + MAX_DRIFT * (2 * simulation.random.nextDouble() - 1);
        this.clockOrigin = simulation.random.nextLong() >> 2;
        this.limiter = ShiftLimiter.start(new CapAllowance.Incarnation(incarnation, now()));
        this.lastTickNanos = now();
    }

    static CapSimulationHost start(CapSimulation simulation, String name, long incarnation) {
        CapSimulationHost host = new CapSimulationHost(simulation, name, incarnation);
        host.apply(simulation.configuration(), simulation.revision());
        return host;
    }

    /** This host's monotonic clock. */
    private long now() {
        return clockOrigin + (long) (simulation.timer.nowNanos() * clockRate);
    }

    void apply(Configuration configuration, long newRevision) {
        if (newRevision < revision) {
            return;
        }
        revision = newRevision;
        limiter.apply(configuration, now());
        if (lender != null) {
            lender.apply(CapShares.of(configuration.items(ShiftCap.class).get(0), configuration), now());
        }
    }

    /** Does the periodic work of a running process. */
    void tick(int tick) {
        limiter.tick(now());
        if (now() - lastTickNanos > 2 * CapSimulation.TICK.toNanos()) {
            simulation.deliver(this, () -> apply(simulation.configuration(), simulation.revision()));
        }
        lastTickNanos = now();
        if ((tick + name.hashCode()) % RENEWAL_INTERVAL_TICKS == 0 && !simulation.storeDown()) {
            renew();
            syncCounter();
        }
        if ((tick + name.hashCode()) % REQUEST_INTERVAL_TICKS == 0) {
            limiter.permitRequest(CapSimulation.SERVICE, CapSimulation.FROM, CapSimulation.TO, name, now())
                    .ifPresent(this::sendRequest);
        }
    }

    /** Moves as many of the requests as the cap allows; returns the number moved. */
    int move(int requests) {
        int moved = 0;
        for (int i = 0; i < requests; i++) {
            moved += simulation.method == CapSimulation.Method.SHARES ? moveByShares() : moveByCounter();
        }
        return moved;
    }

    private int moveByShares() {
        limiter.countSeen(CapSimulation.SERVICE, CapSimulation.FROM, now());
        return limiter.take(CapSimulation.SERVICE, CapSimulation.FROM, CapSimulation.TO, now())
                        .isRight()
                ? 1
                : 0;
    }

    private int moveByCounter() {
        if (knownTotal + unreported >= knownCap) {
            return 0;
        }
        unreported++;
        return 1;
    }

    private void syncCounter() {
        simulation.central.add(unreported, simulation.timer.nowNanos());
        unreported = 0;
        long total = simulation.central.total(simulation.timer.nowNanos());
        long cap = simulation.cap();
        simulation.deliverUnreliably(this, () -> {
            knownTotal = total;
            knownCap = cap;
        });
    }

    private void renew() {
        long requestedNanos = now();
        long token = simulation.acquire(holder);
        if (token != 0) {
            simulation.deliverUnreliably(this, () -> onLease(CapSimulation.leaseOf(token, requestedNanos)));
        }
    }

    private void onLease(PermitLender.Lease lease) {
        if (lender != null) {
            lender.renew(lease, now());
            return;
        }
        Configuration configuration = simulation.configuration();
        CapShares shares = CapShares.of(configuration.items(ShiftCap.class).get(0), configuration);
        lender = PermitLender.open(shares, lease, now());
    }

    private void sendRequest(PermitLender.Request request) {
        CapSimulationHost to = simulation.randomLender();
        simulation.deliverUnreliably(to, () -> to.onPermitRequest(request, this));
    }

    private void onPermitRequest(PermitLender.Request request, CapSimulationHost requester) {
        if (lender == null) {
            return;
        }
        lender.lend(request, HEADROOM, now())
                .forEach(grant -> simulation.deliverUnreliably(
                        requester,
                        () -> requester.limiter.receive(
                                CapSimulation.SERVICE, CapSimulation.FROM, CapSimulation.TO, grant, requester.now())));
    }
}
