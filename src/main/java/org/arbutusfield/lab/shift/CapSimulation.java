package org.arbutusfield.lab.shift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.shift.PermitLender;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Seeded simulation, in virtual time and with faults, of all hosts that move traffic under one cap.
 *
 * <p>Hosts die and are replaced, or pause and resume; messages are delayed, lost or duplicated; several hosts consider
 * themselves the lender; the store is unavailable for a while; the cap is lowered and raised again. The simulation
 * records every moved request.
 */
public final class CapSimulation {
    static final String SERVICE = "quotedesk";
    static final String FROM = "gulf";
    static final String TO = "delta";
    static final int HOST_COUNT = 20;
    static final Duration TICK = Duration.ofMillis(10);
    static final Duration INTERVAL = Duration.ofSeconds(10);
    static final Duration LEASE = Duration.ofSeconds(3);
    private static final long HIGH_CAP = 1_200;
    private static final long LOW_CAP = 500;
    private static final double DEMAND_PER_TICK = 0.2;

    final VirtualTimer timer = VirtualTimer.create();
    final Random random;
    final Faults faults;
    final Method method;
    final CentralCounter central = new CentralCounter();
    private final List<CapSimulationHost> hosts = new ArrayList<>();
    private final int[] moved;
    private final long[] limit;
    private final int[] pausedTicks = new int[HOST_COUNT];
    private long wanted;
    private long incarnations;
    private long revision = 1;
    private long cap = HIGH_CAP;
    private long allAppliedTick;
    private String leaseHolder = "";
    private long leaseToken;
    private long leaseUntilNanos;

    private CapSimulation(long seed, Faults faults, Method method) {
        this.random = new Random(seed);
        this.faults = faults;
        this.method = method;
        this.moved = new int[faults.ticks()];
        this.limit = new long[faults.ticks()];
        for (int i = 0; i < HOST_COUNT; i++) {
            hosts.add(CapSimulationHost.start(this, "h" + i, ++incarnations));
        }
    }

    /** Method of enforcing the cap. */
    public enum Method {
        /** Base shares and lent permits. */
        SHARES,
        /** One counter in the store that hosts read and write once a second. */
        CENTRAL_COUNTER
    }

    /**
     * Faults of a run.
     *
     * @param ticks length of the run, in ticks of 10 ms
     * @param deathsPerSecond mean number of hosts that die per second; each is replaced at once
     * @param pausesPerSecond mean number of hosts per second that pause, for up to 20 s each
     * @param lostShare share of messages that are lost; equal shares are duplicated and delayed by seconds
     * @param storeDownFromTick first tick at which the store is unavailable
     * @param storeDownToTick first tick at which the store is available again
     * @param capChanges whether release notes lower and raise the cap
     * @param skew demand of the first quarter of the hosts relative to the others
     */
    public record Faults(
            int ticks,
            double deathsPerSecond,
            double pausesPerSecond,
            double lostShare,
            int storeDownFromTick,
            int storeDownToTick,
            boolean capChanges,
            double skew) {

        /** A run without faults, of the given length. */
        public static Faults none(int seconds) {
            return new Faults(seconds * 100, 0, 0, 0, 0, 0, false, 1);
        }

        /** A run with all faults, of the given length; the store is unavailable in the middle third. */
        public static Faults all(int seconds) {
            int ticks = seconds * 100;
            return new Faults(ticks, 0.3, 0.3, 0.05, ticks / 3, 2 * ticks / 3, true, 4);
        }
    }

    /**
     * Result of a run.
     *
     * @param worstRatio largest sum of moved requests over any interval, relative to the cap in force for it
     * @param used mean number of moved requests per interval, relative to the cap
     * @param moved number of moved requests
     * @param wanted number of requests that were to be moved
     */
    public record Result(double worstRatio, double used, long moved, long wanted) {}

    /** Runs a simulation with the given faults. */
    public static Result run(long seed, Faults faults, Method method) {
        CapSimulation simulation = new CapSimulation(seed, faults, method);
        for (int tick = 0; tick < faults.ticks(); tick++) {
            simulation.tick(tick);
        }
        return simulation.result();
    }

    private void tick(int tick) {
        timer.advance(TICK);
        if (faults.capChanges() && tick > 0 && tick % 4_000 == 0) {
            changeCap();
        }
        for (int i = 0; i < HOST_COUNT; i++) {
            if (occurs(faults.deathsPerSecond() / HOST_COUNT)) {
                hosts.set(i, CapSimulationHost.start(this, "h" + i, ++incarnations));
                pausedTicks[i] = 0;
            }
            if (occurs(faults.pausesPerSecond() / HOST_COUNT)) {
                pausedTicks[i] = random.nextInt(2_000);
            }
            CapSimulationHost host = hosts.get(i);
            host.paused = pausedTicks[i] > 0;
            if (pausedTicks[i]-- > 0) {
                continue;
            }
            moved[tick] += serve(host, i, tick);
        }
        trackLimit(tick);
    }

    private int serve(CapSimulationHost host, int index, int tick) {
        host.tick(tick);
        double mean = DEMAND_PER_TICK * (index < HOST_COUNT / 4 ? faults.skew() : 1);
        int requests = (int) mean + (random.nextDouble() < mean - (int) mean ? 1 : 0);
        wanted += requests;
        return host.move(requests);
    }

    /**
     * Sets the limit of a tick. The higher cap stays the limit until every running host has the current cap in force.
     */
    private void trackLimit(int tick) {
        boolean allApplied = hosts.stream().allMatch(host -> host.paused || host.revision == revision);
        if (allApplied) {
            allAppliedTick = tick;
        }
        limit[tick] = allAppliedTick == tick ? cap : HIGH_CAP;
    }

    private void changeCap() {
        cap = cap == HIGH_CAP ? LOW_CAP : HIGH_CAP;
        revision++;
        hosts.forEach(host -> deliver(host, () -> host.apply(configuration(), revision)));
    }

    Configuration configuration() {
        return Configuration.of(
                revision,
                "n" + revision,
                List.of(
                        new Region(FROM, HOST_COUNT / 2),
                        new Region(TO, HOST_COUNT / 2),
                        new MoveRule(SERVICE, FROM, TO, 1),
                        new ShiftCap(SERVICE, FROM, TO, 1, (int) INTERVAL.toSeconds(), cap)));
    }

    long cap() {
        return cap;
    }

    long revision() {
        return revision;
    }

    boolean storeDown() {
        long tick = timer.nowNanos() / TICK.toNanos();
        return tick >= faults.storeDownFromTick() && tick < faults.storeDownToTick();
    }

    /** Acquires or renews the lease in the store. Returns its fencing token, or 0 if another holder has the lease. */
    long acquire(String holder) {
        long now = timer.nowNanos();
        boolean free = now >= leaseUntilNanos;
        if (!free && !leaseHolder.equals(holder)) {
            return 0;
        }
        if (!leaseHolder.equals(holder)) {
            leaseToken++;
        }
        leaseHolder = holder;
        leaseUntilNanos = now + LEASE.toNanos();
        return leaseToken;
    }

    /**
     * Returns a random host among those that have held the lease, as a host with an outdated host list may choose one.
     */
    CapSimulationHost randomLender() {
        List<CapSimulationHost> lenders =
                hosts.stream().filter(host -> host.lender != null).toList();
        return lenders.isEmpty() ? hosts.get(0) : lenders.get(random.nextInt(lenders.size()));
    }

    /** Delivers a message soon or a second late. A paused process receives it when it resumes. */
    void deliver(CapSimulationHost to, Runnable message) {
        if (random.nextDouble() < faults.lostShare()) {
            timer.after(Duration.ofSeconds(1), () -> process(to, message));
            return;
        }
        timer.after(delay(), () -> process(to, message));
    }

    /** Delivers a message that may also be lost or duplicated. */
    void deliverUnreliably(CapSimulationHost to, Runnable message) {
        if (random.nextDouble() < faults.lostShare()) {
            return;
        }
        if (random.nextDouble() < faults.lostShare()) {
            timer.after(Duration.ofMillis(random.nextInt(15_000)), () -> process(to, message));
        }
        deliver(to, message);
    }

    private void process(CapSimulationHost to, Runnable message) {
        if (to.paused) {
            timer.after(TICK, () -> process(to, message));
            return;
        }
        message.run();
    }

    private Duration delay() {
        return Duration.ofMillis(1 + random.nextInt(30));
    }

    private boolean occurs(double perSecond) {
        return random.nextDouble() < perSecond * TICK.toMillis() / 1_000;
    }

    private Result result() {
        int span = (int) (INTERVAL.toNanos() / TICK.toNanos());
        double worst = 0;
        long sum = 0;
        for (int tick = 0; tick < moved.length; tick++) {
            sum += moved[tick];
            if (tick >= span) {
                sum -= moved[tick - span];
                worst = Math.max(worst, (double) sum / largestLimit(tick - span + 1, tick));
            }
        }
        long total = 0;
        double allowed = 0;
        for (int tick = 0; tick < moved.length; tick++) {
            total += moved[tick];
            allowed += (double) limit[tick] / span;
        }
        return new Result(worst, total / allowed, total, wanted);
    }

    private long largestLimit(int firstTick, int lastTick) {
        long largest = 0;
        for (int tick = firstTick; tick <= lastTick; tick++) {
            largest = Math.max(largest, limit[tick]);
        }
        return largest;
    }

    static PermitLender.Lease leaseOf(long token, long requestedNanos) {
        return new PermitLender.Lease(token, requestedNanos, LEASE.toNanos());
    }
}
