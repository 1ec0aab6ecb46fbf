package org.arbutusfield.steering;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.affinity.LoadExchange;
import org.arbutusfield.misc.BoundedMap;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.wire.gen.UpstreamLoad;

/**
 * The load that each start of an upstream stated last, how old that is, and what this host has sent it since.
 *
 * <p>A statement of another start replaces those of earlier ones; of one start the newest counts. Requests that this
 * host sends after a statement are added to it, so that the room it names is used once. The slowness that upstreams
 * state is kept as the last figure and as a mean over {@code SLOWNESS_MEMORY}, because a figure changes several times a
 * second while a slow machine stays slow.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class UpstreamLoadKnowledge implements LoadExchange {
    /** Time for which a cut request is held against an upstream; then requests find out whether it is still slow. */
    private static final Duration CUT_MEMORY = Duration.ofSeconds(5);
    /** A request that ran less long than this many times the usual was cut for another reason, or waited longer. */
    private static final double MIN_CUT = 3;

    /** Bounds the memory; the oldest are discarded first. */
    private static final int MAX_UPSTREAMS = 20_000;

    private static final double SLOWNESS_MEMORY_NANOS = Duration.ofSeconds(2).toNanos();
    /** Age after which a host doesn't pass a statement on: it is reported each second. */
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(2);
    /** Keeps a report below the frame size limit. */
    private static final int MAX_REPORTED = 500;

    private final Map<String, Entry> entries = BoundedMap.of(MAX_UPSTREAMS);

    private UpstreamLoadKnowledge() {}

    /** Creates an instance that knows no loads. */
    public static UpstreamLoadKnowledge create() {
        return new UpstreamLoadKnowledge();
    }

    /**
     * What is known of the load of an upstream.
     *
     * @param ahead requests that run or wait there, as stated
     * @param sentSince requests of this host that were sent since, and have not ended
     * @param slots its slots, above zero
     * @param lastSlowness slowness stated last; 1 if it states none
     * @param meanSlowness mean of the stated slowness; 1 if it states none
     * @param leastSlowness slowness that it must have had for a request of this host to be cut lately; 1 if none was
     * @param statesSlowness whether it states its slowness
     * @param ageNanos age of the statement
     */
    record Known(
            int ahead,
            int sentSince,
            int slots,
            double lastSlowness,
            double meanSlowness,
            double leastSlowness,
            boolean statesSlowness,
            long ageNanos) {}

    /** Records a statement that arrived now in a response to this host. */
    void heard(LiveUpstream upstream, UpstreamNotice.Load load, long nowNanos) {
        Entry entry = entryOf(upstream.start(), upstream.upstream().service());
        if (entry != null && entry.record(load, nowNanos)) {
            entry.unreported = true;
        }
    }

    @Override
    public void heard(List<UpstreamLoad> loads, long nowNanos) {
        for (UpstreamLoad told : loads) {
            OptionalDouble slowness =
                    told.isSetSlowness() ? OptionalDouble.of(told.getSlowness()) : OptionalDouble.empty();
            boolean plausible = told.getSlots() > 0
                    && told.getRunning() >= 0
                    && told.getWaiting() >= 0
                    && slowness.orElse(1) > 0
                    && Double.isFinite(slowness.orElse(1));
            Entry entry = plausible ? entryOf(new UpstreamStart(told.getUpstream(), told.getStartMillis()), "") : null;
            if (entry != null) {
                UpstreamNotice.Load load =
                        new UpstreamNotice.Load(told.getRunning(), told.getWaiting(), told.getSlots(), slowness);
                entry.record(load, nowNanos - Math.max(0, told.getAgeMicros()) * 1000);
            }
        }
    }

    @Override
    public List<UpstreamLoad> report(String service, long nowNanos) {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (Map.Entry<String, Entry> named : entries.entrySet()) {
            Entry entry = named.getValue();
            boolean due = entry.unreported
                    && entry.load != null
                    && entry.service.equals(service)
                    && loads.size() < MAX_REPORTED;
            if (due && entry.ageNanos(nowNanos) <= MAX_REPORT_AGE.toNanos()) {
                loads.add(entry.toWire(named.getKey(), nowNanos));
            }
            entry.unreported &= !due;
        }
        return loads;
    }

    /** Records that this host sends a request to the upstream. */
    void sent(LiveUpstream upstream, long nowNanos) {
        Entry entry = entryOf(upstream.start(), upstream.upstream().service());
        if (entry != null) {
            entry.sentNanos.addLast(nowNanos);
        }
    }

    /** Records that a request that was sent at a time has ended. */
    void ended(LiveUpstream upstream, long sentNanos) {
        Entry entry = entries.get(upstream.name());
        if (entry != null && entry.startMillis == upstream.startMillis()) {
            entry.sentNanos.removeFirstOccurrence(sentNanos);
        }
    }

    /**
     * Records that a request was cut, which tells of a slow upstream that answers no request and so states nothing.
     *
     * @param leastSlowness how many times longer than usual it had run, without the expected wait
     */
    void cut(LiveUpstream upstream, double leastSlowness, long nowNanos) {
        Entry entry = entries.get(upstream.name());
        boolean slow = entry != null && entry.startMillis == upstream.startMillis() && leastSlowness > MIN_CUT;
        if (slow) {
            entry.cutSlowness = leastSlowness;
            entry.cutNanos = nowNanos;
            entry.unreported = entry.load != null;
        }
    }

    /** Returns what is known of an upstream; empty if this start has stated nothing. */
    Optional<Known> of(LiveUpstream upstream, long nowNanos) {
        Entry entry = entries.get(upstream.name());
        boolean known = entry != null && entry.load != null && entry.startMillis == upstream.startMillis();
        return known ? Optional.of(entry.known(nowNanos)) : Optional.empty();
    }

    /** Returns the entry of a start; null if a later start is known. */
    private Entry entryOf(UpstreamStart start, String service) {
        Entry entry = entries.get(start.upstream());
        if (entry != null && start.startMillis() != 0 && entry.startMillis > start.startMillis()) {
            return null;
        }
        if (entry == null || entry.startMillis != start.startMillis()) {
            entries.remove(start.upstream());
            entry = new Entry(start.startMillis());
            entries.put(start.upstream(), entry);
        }
        if (!service.isEmpty()) {
            entry.service = service;
        }
        return entry;
    }

    /** What is known of one start of an upstream. */
    private static final class Entry {
        private final long startMillis;
        private final Deque<Long> sentNanos = new ArrayDeque<>();
        private String service = "";
        private UpstreamNotice.Load load;
        private long statedNanos;
        private double meanSlowness = 1;
        private boolean unreported;
        private double cutSlowness = 1;
        private long cutNanos;

        private Entry(long startMillis) {
            this.startMillis = startMillis;
        }

        /** Takes a statement; returns false if a newer one is known. */
        private boolean record(UpstreamNotice.Load next, long nanos) {
            if (load != null && nanos - statedNanos < 0) {
                return false;
            }
            double slowness = next.slowness().orElse(1);
            double weight = load == null ? 1 : 1 - Math.exp((statedNanos - nanos) / SLOWNESS_MEMORY_NANOS);
            meanSlowness += weight * (slowness - meanSlowness);
            if (next.slowness().isPresent() && slowness < cutSlowness / 2) {
                cutSlowness = 1;
            }
            load = next;
            statedNanos = nanos;
            return true;
        }

        private Known known(long nowNanos) {
            int since = 0;
            for (Iterator<Long> sent = sentNanos.descendingIterator(); sent.hasNext(); ) {
                if (sent.next() - statedNanos < 0) {
                    break;
                }
                since++;
            }
            return new Known(
                    load.running() + load.waiting(),
                    since,
                    load.slots(),
                    load.slowness().orElse(1),
                    meanSlowness,
                    cutSlowness(nowNanos),
                    load.slowness().isPresent(),
                    nowNanos - statedNanos);
        }

        /** Age of what is newest: the statement, or the last request that was cut. */
        private long ageNanos(long nowNanos) {
            return nowNanos - (cutSlowness > 1 ? Math.max(statedNanos, cutNanos) : statedNanos);
        }

        private double cutSlowness(long nowNanos) {
            return nowNanos - cutNanos < CUT_MEMORY.toNanos() ? cutSlowness : 1;
        }

        private UpstreamLoad toWire(String name, long nowNanos) {
            UpstreamLoad wire = new UpstreamLoad(
                    name, startMillis, load.running(), load.waiting(), load.slots(), ageNanos(nowNanos) / 1000);
            double cut = cutSlowness(nowNanos);
            if (load.slowness().isPresent() || cut > 1) {
                wire.setSlowness(Math.max(cut, load.slowness().orElse(1)));
            }
            return wire;
        }
    }
}
