package org.arbutusfield.quota;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.BoundedMap;
import org.arbutusfield.state.UpstreamStart;

/**
 * What the leader of one term knows of the limits that upstreams have named.
 *
 * <p>Problem: hosts hear of a limit from responses only, at other times and in another order than the upstream sent
 * them. A host that counts by what it heard itself may go by an earlier, higher limit, or take a late response without
 * a limit for the end of it. Clocks of different hosts can't be compared.
 *
 * <p>Idea: hosts tell the leader what each response says, and all of them count by what it knows. A limit that begins
 * or falls counts at once. One that rises or ends counts only if the response is certainly newer than what is known: if
 * its request was sent under a permission that the leader gave after it had heard that. The permission carries the
 * version of the register for that purpose.
 *
 * <p>Invariants: the limit in force is never higher than the lowest one that was heard since the permission of the
 * response that raised it. It ends only with a response whose request was permitted after each response heard so far
 * that named one. What hosts believe from before the term counts as a response without a permission.
 *
 * <p>Example: upstream 3 has named 8 per second. Host a hears 1, and tells: 1 is in force, at version 12. A response
 * that names 8 arrives at host b; its request was permitted at version 10, so 1 stays. A request is permitted at
 * version 12, and its response names none: the limit has ended.
 *
 * <p>Not thread-safe.
 */
final class LimitRegister {
    private static final Logger LOG = LogManager.getLogger(LimitRegister.class);
    /** Bounds the memory; the limits named first are forgotten first. */
    private static final int MAX_UPSTREAMS = 20_000;

    private final long term;
    private final Map<String, Entry> entries = BoundedMap.of(MAX_UPSTREAMS);
    private long sequence;

    private LimitRegister(long term) {
        this.term = term;
    }

    /**
     * Creates an empty register.
     *
     * @param term random number of the leader's term
     */
    static LimitRegister create(long term) {
        return new LimitRegister(term);
    }

    /** Returns the limit of an upstream, at the present version. */
    UpstreamLimit limit(UpstreamStart upstream) {
        Optional<Entry> entry = entry(upstream).filter(known -> known.upstream.startMillis() >= upstream.startMillis());
        return new UpstreamLimit(
                entry.map(known -> known.upstream).orElse(upstream),
                entry.map(known -> known.perSecond).orElse(OptionalDouble.empty()),
                Optional.of(version()));
    }

    /** Returns the limit of the last known start of an upstream, for hosts that don't tell the start. */
    UpstreamLimit limit(String upstream) {
        return limit(new UpstreamStart(upstream, Long.MIN_VALUE));
    }

    /**
     * Takes into account what a host believes. What it has from this term's leader is no news.
     *
     * @return true if the upstream had no limit before, and has one now
     */
    boolean believed(UpstreamLimit belief) {
        boolean known =
                belief.version().filter(version -> version.term() == term).isPresent();
        return !known && belief.perSecond().isPresent() && named(belief, Optional.empty());
    }

    /**
     * Takes into account what a response said.
     *
     * @param report the limit that it named, if any, and the version of the permission for its request
     * @return true if the upstream had no limit before, and has one now
     */
    boolean reported(UpstreamLimit report) {
        if (report.perSecond().isPresent()) {
            return named(report, report.version());
        }
        entry(report.upstream())
                .filter(entry -> entry.upstream.equals(report.upstream()))
                .filter(entry -> entry.perSecond.isPresent())
                .filter(entry -> isNewer(report.version(), entry.lastNamed))
                .ifPresent(entry -> set(entry, OptionalDouble.empty()));
        return false;
    }

    private boolean named(UpstreamLimit limit, Optional<LimitVersion> permitted) {
        Entry entry = entries.get(limit.upstream().upstream());
        if (entry != null && entry.upstream.startMillis() > limit.upstream().startMillis()) {
            LOG.debug("event=limit_outdated id={} start={}", entry.upstream.upstream(), entry.upstream.startMillis());
            return false;
        }
        if (entry == null || !entry.upstream.equals(limit.upstream())) {
            entry = add(limit.upstream());
        }
        sequence++;
        boolean begins = entry.perSecond.isEmpty();
        double perSecond = limit.perSecond().getAsDouble();
        if (begins || perSecond <= entry.perSecond.getAsDouble() || isNewer(permitted, entry.lastLowest)) {
            set(entry, limit.perSecond());
            entry.lastLowest = version();
        }
        entry.lastNamed = version();
        return begins;
    }

    private void set(Entry entry, OptionalDouble perSecond) {
        if (!entry.perSecond.equals(perSecond)) {
            LOG.info(
                    "event=limit_in_force id={} start={} per_second={} before={} sequence={}",
                    entry.upstream.upstream(),
                    entry.upstream.startMillis(),
                    text(perSecond),
                    text(entry.perSecond),
                    sequence);
        }
        entry.perSecond = perSecond;
    }

    private Entry add(UpstreamStart upstream) {
        entries.remove(upstream.upstream());
        Entry entry = new Entry(upstream, version());
        entries.put(upstream.upstream(), entry);
        return entry;
    }

    private Optional<Entry> entry(UpstreamStart upstream) {
        return Optional.ofNullable(entries.get(upstream.upstream()));
    }

    /** Returns true if a request that was permitted at a version was sent after another version. */
    private static boolean isNewer(Optional<LimitVersion> permitted, LimitVersion heard) {
        return permitted.filter(version -> version.includes(heard)).isPresent();
    }

    private LimitVersion version() {
        return new LimitVersion(term, sequence);
    }

    private static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "-";
    }

    /** What is known of one start of an upstream. */
    private static final class Entry {
        private final UpstreamStart upstream;
        private OptionalDouble perSecond = OptionalDouble.empty();
        /** Version at which the limit in force was heard last, or a lower one. */
        private LimitVersion lastLowest;
        /** Version at which any limit was heard last. */
        private LimitVersion lastNamed;

        private Entry(UpstreamStart upstream, LimitVersion version) {
            this.upstream = upstream;
            this.lastLowest = version;
            this.lastNamed = version;
        }
    }
}
