package org.arbutusfield.state;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.misc.LogValue;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.store.StoreItem;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.team.TeamDirectory;

/**
 * A host's copy of the items in the store, kept current by listings and changes.
 *
 * <p>Problem: leases expire while the store is unavailable. When it returns, entries may be missing although their
 * upstreams are running; others are missing because their upstreams stopped.
 *
 * <p>Idea: an entry that is found missing right after an outage stays in use for a short grace period. If its upstream
 * is running, its next heartbeat restores the entry within that time.
 *
 * <p>A store that returns from an older copy of its content begins a new era. What it lost is written again by its
 * writers, so missing upstreams and drains get the same grace period. What the copy brings back is ignored where an
 * upstream is known to have reported something newer, or to have left.
 *
 * <p>Invariants: the version of the routes never decreases. An unreadable entry provides no upstream. An upstream whose
 * entry says that it is draining, or whose entry was removed, gets no new requests until it reports again or restarts,
 * even after an outage or in a new era.
 *
 * <p>Example: the store is unavailable for 4 s and expires all leases. The first listing afterwards has no upstreams,
 * but all stay in use. Within 1.5 s the entries are written again, and the grace period has no effect on them. One
 * upstream crashed during the outage; it is dropped after 2 s.
 *
 * <p>Single-threaded; callers pass the current time.
 */
public final class StateCache {
    private static final Logger LOG = LogManager.getLogger(StateCache.class);
    private static final Duration REMOVAL_GRACE = Duration.ofSeconds(2);
    private static final Duration COLD_MARGIN = Duration.ofMillis(100);
    private static final int DEFAULT_CONNECTIONS = 64;

    private final ItemDecoder decoder;
    private final Map<String, String> regions;
    private final Map<String, TrackedUpstream> upstreams = new TreeMap<>();
    private final Map<String, RegisteredHost> hosts = new TreeMap<>();
    private final Map<String, Map<Long, String>> homes = new HashMap<>();
    private final Map<String, SuspectRequest> suspects = new HashMap<>();
    private final Set<String> drains = new TreeSet<>();
    /** Monotonic time at which a drain that a new era lacks ends, by key. */
    private final Map<String, Long> missingDrains = new HashMap<>();

    private final DepartedUpstreams departed = DepartedUpstreams.create();
    private long era = StoreRevision.UNKNOWN_ERA;
    private long settledEra = StoreRevision.UNKNOWN_ERA;
    private Optional<RouteTable> routes = Optional.empty();
    private Optional<ConfigurationItem> configuration = Optional.empty();

    private StateCache(ItemDecoder decoder, Map<String, String> regions) {
        this.decoder = decoder;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Creates an empty cache.
     *
     * @param decoder decodes items
     * @param regions region of each failure domain
     */
    public static StateCache create(ItemDecoder decoder, Map<String, String> regions) {
        return new StateCache(decoder, regions);
    }

    /** Creates a batch for items as they arrive from the store. */
    ItemBatch newBatch() {
        return ItemBatch.of(decoder);
    }

    /**
     * Updates the content from a full listing.
     *
     * @param listing all items
     * @param listingEra era of the store that has them
     * @param afterOutage whether the store was unavailable until shortly before
     * @param nowNanos current monotonic time
     */
    void applyListing(ItemBatch listing, long listingEra, boolean afterOutage, long nowNanos) {
        Collection<ReadItem> items = listing.items();
        boolean newEra = StoreRevision.isLaterEra(listingEra, era);
        era = listingEra == StoreRevision.UNKNOWN_ERA ? era : listingEra;
        Set<String> present = new HashSet<>();
        items.forEach(item -> present.add(item.key()));
        removeAbsentDrains(present, newEra, nowNanos);
        hosts.keySet().retainAll(present);
        if (!newEra) {
            // What a new era lacks was lost and not lifted; one of the hosts writes it again.
            suspects.keySet().retainAll(present);
        }
        for (String key : List.copyOf(upstreams.keySet())) {
            if (!present.contains(key)) {
                removeUpstream(key, afterOutage || newEra, nowNanos);
            }
        }
        items.forEach(item -> putItem(item, nowNanos));
    }

    /**
     * Applies changes.
     *
     * @param changes the newest change of each key
     * @param afterOutage whether the store was unavailable until shortly before
     * @param nowNanos current monotonic time
     */
    void applyChanges(ItemBatch changes, boolean afterOutage, long nowNanos) {
        for (ReadItem change : changes.items()) {
            if (change.content().isPresent()) {
                putItem(change, nowNanos);
            }
            if (change.removed()) {
                drains.remove(change.key());
                missingDrains.remove(change.key());
                hosts.remove(change.key());
                suspects.remove(change.key());
                removeUpstream(change.key(), afterOutage, nowNanos);
            }
        }
    }

    /** Drops the entries whose grace period is over; returns true if there were any. */
    public boolean dropExpired(long nowNanos) {
        boolean drainsDropped = missingDrains.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue() - nowNanos <= 0;
            if (expired) {
                drains.remove(entry.getKey());
                LOG.info("event=domain_restored key={} reason=missing_in_new_era", entry.getKey());
            }
            return expired;
        });
        boolean upstreamsDropped = upstreams.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue().missing && entry.getValue().graceEndNanos - nowNanos <= 0;
            if (expired) {
                departed.add(entry.getKey(), entry.getValue().entry, era, nowNanos);
                LOG.info("event=upstream_gone key={} reason=missing_after_outage", entry.getKey());
            }
            return expired;
        });
        return drainsDropped || upstreamsDropped;
    }

    /** Returns true while any entry is in its grace period. */
    public boolean hasMissingEntries() {
        return !missingDrains.isEmpty() || upstreams.values().stream().anyMatch(tracked -> tracked.missing);
    }

    /** Returns the current state, labelled with a revision of the store. */
    public SteeringState snapshot(StoreRevision revision) {
        Set<String> drained = new HashSet<>();
        drains.forEach(key -> drained.add(key.substring(key.lastIndexOf('/') + 1)));
        Map<String, List<LiveUpstream>> byService = new HashMap<>();
        for (TrackedUpstream tracked : upstreams.values()) {
            UpstreamEntry entry = tracked.entry;
            String region = regions.get(entry.failureDomain());
            if (region != null && !entry.draining() && !drained.contains(entry.failureDomain())) {
                byService
                        .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(liveUpstream(tracked, region));
            }
        }
        byService.replaceAll((service, list) ->
                list.stream().sorted(Comparator.comparing(LiveUpstream::name)).toList());
        return new SteeringState(
                routes,
                Map.copyOf(byService),
                Set.copyOf(drained),
                hosts.values().stream().map(RegisteredHost::entry).toList(),
                new LeaderView(
                        hosts.values().stream().min(Comparator.comparingLong(RegisteredHost::createdRevision)),
                        settledEra),
                Map.copyOf(homes),
                suspects.values().stream()
                        .collect(Collectors.toUnmodifiableMap(SuspectRequest::fingerprint, suspect -> suspect)),
                revision);
    }

    private void putItem(ReadItem item, long nowNanos) {
        item.content()
                .orElseThrow()
                .peek(decoded -> apply(item, decoded, nowNanos))
                .peekLeft(failure -> {
                    LOG.warn(
                            "event=item_unreadable key={} detail={}",
                            LogValue.of(item.key()),
                            LogValue.of(failure.detail()));
                    removeUpstream(item.key(), false, nowNanos);
                });
    }

    private void apply(ReadItem item, StateItem decoded, long nowNanos) {
        if (decoded instanceof StateItem.Routes table) {
            installRoutes(table.routes(), item.key(), item.configuration().orElseThrow());
        } else if (decoded instanceof StateItem.DomainDrain) {
            missingDrains.remove(item.key());
            if (drains.add(item.key())) {
                LOG.info("event=domain_drained key={} revision={}", item.key(), item.revision());
            }
        } else if (decoded instanceof StateItem.HostRegistration host) {
            hosts.put(item.key(), new RegisteredHost(host.entry(), item.revision(), item.createdRevision()));
        } else if (decoded instanceof StateItem.Homes stored) {
            homes.put(stored.service(), stored.upstreams());
        } else if (decoded instanceof StateItem.SettledEra settled) {
            settledEra = settled.era();
        } else if (decoded instanceof StateItem.Suspect suspect) {
            suspects.put(item.key(), suspect.request());
        } else if (decoded instanceof StateItem.UpstreamRegistration report) {
            putUpstream(item, report.entry(), nowNanos);
        }
    }

    /** Returns the operator's configuration in force as it was read, if there is one. */
    Optional<ConfigurationItem> configuration() {
        return configuration;
    }

    /** Installs a configuration that another host has read; returns true if it is later than the one in force. */
    boolean installRoutesFromPeer(String key, Body value) {
        ItemBatch batch = newBatch();
        batch.written(new StoreItem(key, value, 0));
        Either<Failure, StateItem> decoded =
                batch.items().iterator().next().content().orElseThrow();
        boolean later = decoded.isRight()
                && decoded.get() instanceof StateItem.Routes table
                && table.routes().version() > routes.map(RouteTable::version).orElse(0L);
        if (later) {
            installRoutes(((StateItem.Routes) decoded.get()).routes(), key, value);
        }
        return later;
    }

    private void installRoutes(RouteTable table, String key, Body value) {
        long current = routes.map(RouteTable::version).orElse(0L);
        if (table.version() < current) {
            LOG.warn("event=routes_older version={} in_force={}", table.version(), current);
            return;
        }
        if (table.version() > current) {
            LOG.info("event=routes_in_force version={} replaces={} routes={}", table.version(), current, table.size());
            logDuplicateTeams(table);
        }
        routes = Optional.of(table);
        configuration = Optional.of(new ConfigurationItem(table.version(), key, value));
    }

    private static void logDuplicateTeams(RouteTable table) {
        for (TeamDirectory.Duplicate duplicate : table.teams().duplicates()) {
            LOG.warn(
                    "event=team_duplicate version={} team={} ignored={}",
                    table.version(),
                    LogValue.of(duplicate.used()),
                    LogValue.of(duplicate.ignored()));
        }
    }

    private void putUpstream(ReadItem item, UpstreamEntry entry, long nowNanos) {
        TrackedUpstream previous = upstreams.get(item.key());
        if (previous != null && isKnown(previous, item, entry)) {
            previous.missing = false;
            return;
        }
        if (departed.isOutdated(item.key(), entry, era, nowNanos)) {
            LOG.warn("event=upstream_entry_outdated key={} revision={}", item.key(), item.revision());
            return;
        }
        boolean sameStart = previous != null && previous.entry.startMillis() == entry.startMillis();
        long firstSeen = sameStart ? previous.firstSeenNanos : nowNanos;
        long coldUntil = entry.coldRemaining().isZero()
                ? nowNanos
                : nowNanos + entry.coldRemaining().plus(COLD_MARGIN).toNanos();
        upstreams.put(item.key(), new TrackedUpstream(entry, era, item.revision(), firstSeen, coldUntil));
        boolean stateChanged = previous == null || !sameStart || previous.entry.draining() != entry.draining();
        if (stateChanged || !entry.coldRemaining().isZero()) {
            LOG.info(
                    "event=upstream_state id={} service={} domain={} draining={} cold_ms={} revision={}",
                    entry.id(),
                    entry.service(),
                    entry.failureDomain(),
                    entry.draining(),
                    entry.coldRemaining().toMillis(),
                    item.revision());
        }
    }

    /**
     * Returns true if the item tells nothing new: it is unchanged or, in a new era, a copy of what the upstream
     * reported at the same time or earlier.
     */
    private boolean isKnown(TrackedUpstream previous, ReadItem item, UpstreamEntry entry) {
        if (previous.era == era) {
            return previous.revision == item.revision();
        }
        boolean unchanged = entry.equals(previous.entry);
        boolean outdated = StoreRevision.isLaterEra(era, previous.era) && entry.isOlderThan(previous.entry);
        if (outdated) {
            LOG.warn("event=upstream_entry_outdated key={} revision={}", item.key(), item.revision());
        }
        return unchanged || outdated;
    }

    private void removeAbsentDrains(Set<String> present, boolean newEra, long nowNanos) {
        if (!newEra) {
            drains.retainAll(present);
            missingDrains.keySet().retainAll(drains);
            return;
        }
        for (String key : drains) {
            if (!present.contains(key)) {
                missingDrains.putIfAbsent(key, nowNanos + REMOVAL_GRACE.toNanos());
            }
        }
    }

    private void removeUpstream(String key, boolean afterOutage, long nowNanos) {
        TrackedUpstream tracked = upstreams.get(key);
        if (tracked == null) {
            return;
        }
        if (!afterOutage || tracked.entry.draining()) {
            upstreams.remove(key);
            departed.add(key, tracked.entry, era, nowNanos);
            LOG.info("event=upstream_gone key={} reason=entry_removed", key);
        } else if (!tracked.missing) {
            tracked.missing = true;
            tracked.graceEndNanos = nowNanos + REMOVAL_GRACE.toNanos();
        }
    }

    private LiveUpstream liveUpstream(TrackedUpstream tracked, String region) {
        UpstreamEntry entry = tracked.entry;
        int connections = routes.flatMap(table -> table.service(entry.service()))
                .map(ServicePolicy::maxConnections)
                .orElse(DEFAULT_CONNECTIONS);
        Upstream upstream = new Upstream(
                entry.id(),
                entry.service(),
                entry.failureDomain(),
                entry.address().getHostString(),
                entry.address().getPort(),
                entry.slots(),
                connections);
        return new LiveUpstream(
                upstream,
                region,
                tracked.coldUntilNanos,
                tracked.firstSeenNanos,
                entry.startMillis(),
                WeightedRendezvous.hash(entry.id()));
    }

    /** The entry of an upstream and what this host recorded about it. */
    private static final class TrackedUpstream {
        private final UpstreamEntry entry;
        private final long era;
        private final long revision;
        private final long firstSeenNanos;
        private final long coldUntilNanos;
        private boolean missing;
        private long graceEndNanos;

        private TrackedUpstream(
                UpstreamEntry entry, long era, long revision, long firstSeenNanos, long coldUntilNanos) {
            this.entry = entry;
            this.era = era;
            this.revision = revision;
            this.firstSeenNanos = firstSeenNanos;
            this.coldUntilNanos = coldUntilNanos;
        }
    }
}
