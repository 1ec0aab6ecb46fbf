package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One fault of a run.
 *
 * @param at when it begins, from the start of the traffic
 * @param kind what happens
 * @param target number of the host or upstream that is hit
 * @param length how long it lasts, where it lasts
 */
record SoakFault(Duration at, Kind kind, int target, Duration length) {
    private static final int MIN_LENGTH_MILLIS = 300;
    private static final int LENGTH_RANGE_MILLIS = 3200;
    private static final int MAX_SERIES_LENGTH = 3;
    private static final int SERIES_GAP_MILLIS = 900;

    /** What happens. */
    enum Kind {
        /** The host's link to the store passes everything on late. */
        STORE_DELAY,
        /** The host's link to the store is reset. */
        STORE_RESET,
        /** The host's link to the store loses answers. */
        STORE_ONE_WAY,
        /** The host's link to the store is silent. */
        STORE_SILENT,
        /** The store refuses all calls. */
        STORE_BUSY,
        /** The store does what it is asked and does not answer. */
        STORE_LOST_ANSWERS,
        /** Watches hear nothing. */
        STORE_DEAF,
        /** The store forgets its history. */
        STORE_COMPACT,
        /** The upstream's link passes everything on late. */
        UPSTREAM_DELAY,
        /** The upstream's link is reset. */
        UPSTREAM_RESET,
        /** The upstream's link loses answers. */
        UPSTREAM_ONE_WAY,
        /** The upstream's link is silent. */
        UPSTREAM_SILENT,
        /** The upstream sheds what it gets. */
        UPSTREAM_SHED,
        /** The upstream drains, leaves and is replaced by another one. */
        UPSTREAM_REPLACE,
        /** The host is killed and started again. */
        HOST_KILL,
        /** The host is stopped gracefully and started again. */
        HOST_STOP,
        /** The host stands still. */
        HOST_PAUSE,
        /** The host gets the signal to read its settings again. */
        HOST_RELOAD,
        /** The operator changes the routes. */
        ROUTES_CHANGE
    }

    /** A series of faults that overlap, drawn from the seed. */
    static List<SoakFault> generate(Random random, SoakPlan plan) {
        List<SoakFault> faults = new ArrayList<>();
        long end = plan.faultWindow().toMillis();
        while (faults.size() < plan.faultCount()) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            long at = random.nextLong(end);
            int target = random.nextInt(plan.hosts() + plan.upstreams());
            int series = 1 + random.nextInt(MAX_SERIES_LENGTH);
            for (int i = 0; i < series && at < end; i++) {
                Duration length = Duration.ofMillis(MIN_LENGTH_MILLIS + random.nextInt(LENGTH_RANGE_MILLIS));
                faults.add(new SoakFault(Duration.ofMillis(at), kind, target, length));
                at += SERIES_GAP_MILLIS / 2 + random.nextInt(SERIES_GAP_MILLIS);
            }
        }
        faults.sort(Comparator.comparing(SoakFault::at));
        return faults;
    }
}
