package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * One fault of a run.
 *
 * @param at when it begins, from the start of the fault injection
 * @param kind what happens
 * @param target number that selects the host or upstream concerned
 * @param length how long it lasts, for the kinds that last
 */
record SoakFault(Duration at, Kind kind, int target, Duration length) {
    private static final int MIN_LENGTH_MILLIS = 300;
    private static final int LENGTH_RANGE_MILLIS = 3200;
    private static final int MAX_SERIES_LENGTH = 3;
    private static final int SERIES_GAP_MILLIS = 900;
    /** The crashing request begins early, so that most of the run sees what follows. */
    private static final int LATEST_CRASHING_START_DIVISOR = 4;

    /** The kinds of faults. */
    enum Kind {
        /** The host's link to the store delays everything. */
        STORE_DELAY,
        /** The host's link to the store is reset. */
        STORE_RESET,
        /** The host's link to the store drops responses. */
        STORE_ONE_WAY,
        /** The host's link to the store drops everything. */
        STORE_SILENT,
        /** The store refuses all calls. */
        STORE_BUSY,
        /** The store executes all calls and does not respond. */
        STORE_LOST_ANSWERS,
        /** The store does not respond to watches. */
        STORE_DEAF,
        /** The store drops its history of changes. */
        STORE_COMPACT,
        /** The upstream's link delays everything. */
        UPSTREAM_DELAY,
        /** The upstream's link is reset. */
        UPSTREAM_RESET,
        /** The upstream's link drops responses. */
        UPSTREAM_ONE_WAY,
        /** The upstream's link drops everything. */
        UPSTREAM_SILENT,
        /** The upstream sheds all requests. */
        UPSTREAM_SHED,
        /** The upstream drains, deregisters and is replaced by another one. */
        UPSTREAM_REPLACE,
        /** The host is killed and started again. */
        HOST_KILL,
        /** The host is stopped gracefully and started again. */
        HOST_STOP,
        /** The host process is paused. */
        HOST_PAUSE,
        /** The host receives the signal to reload its settings. */
        HOST_RELOAD,
        /** The operator changes the routes. */
        ROUTES_CHANGE,
        /** The store returns from a copy that is as old as the fault is long; its writers then write again. */
        STORE_ROLL_BACK,
        /** From then on a caller sends a request that ends each upstream that runs it. */
        CRASHING_REQUEST
    }

    /** The kinds that come in random series. Adding to them would change the faults of every seed. */
    private static final List<Kind> SERIES_KINDS = Stream.of(Kind.values())
            .filter(kind -> kind != Kind.STORE_ROLL_BACK && kind != Kind.CRASHING_REQUEST)
            .toList();

    /**
     * Generates series of faults that may overlap, in the order of their start times; the same seed gives the same
     * faults.
     */
    static List<SoakFault> generate(Random random, SoakPlan plan) {
        List<SoakFault> faults = new ArrayList<>();
        long end = plan.faultWindow().toMillis();
        while (faults.size() < plan.faultCount()) {
            Kind kind = SERIES_KINDS.get(random.nextInt(SERIES_KINDS.size()));
            long at = random.nextLong(end);
            int target = random.nextInt(plan.hosts() + plan.upstreams());
            int series = 1 + random.nextInt(MAX_SERIES_LENGTH);
            for (int i = 0; i < series && at < end; i++) {
                Duration length = Duration.ofMillis(MIN_LENGTH_MILLIS + random.nextInt(LENGTH_RANGE_MILLIS));
                faults.add(new SoakFault(Duration.ofMillis(at), kind, target, length));
                at += SERIES_GAP_MILLIS / 2 + random.nextInt(SERIES_GAP_MILLIS);
            }
        }
        Duration copyAge = Duration.ofMillis(MIN_LENGTH_MILLIS + random.nextInt(LENGTH_RANGE_MILLIS));
        faults.add(new SoakFault(Duration.ofMillis(random.nextLong(end)), Kind.STORE_ROLL_BACK, 0, copyAge));
        Duration crashingFrom = Duration.ofMillis(random.nextLong(end / LATEST_CRASHING_START_DIVISOR));
        Duration crashingFor = plan.faultWindow().minus(crashingFrom);
        faults.add(new SoakFault(crashingFrom, Kind.CRASHING_REQUEST, 0, crashingFor));
        faults.sort(Comparator.comparing(SoakFault::at));
        return faults;
    }
}
