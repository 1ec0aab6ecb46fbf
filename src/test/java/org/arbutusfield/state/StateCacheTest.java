package org.arbutusfield.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.route.CallerLimits;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.store.StoreItem;
import org.arbutusfield.store.StoreRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The cached state during outages in which entries expire, and with unreadable entries. */
class StateCacheTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long ERA = 1;

    private final Map<String, StateItem> decoded = new HashMap<>();
    private final StateCache cache = StateCache.create(this::decode, Map.of("gulf-a", "gulf", "delta-a", "delta"));

    private Either<Failure, StateItem> decode(String key, byte[] value) {
        if (key.equals("u/odd")) {
            throw new IllegalStateException("odd entry");
        }
        return decoded.containsKey(key)
                ? Either.right(decoded.get(key))
                : Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key));
    }

    private StoreItem upstream(String id, long revision, boolean draining, Duration cold, long startMillis) {
        UpstreamEntry entry = new UpstreamEntry(
                id,
                "desk",
                "gulf-a",
                Addresses.parse("127.0.0.1:9000").orElseThrow(),
                3,
                draining,
                cold,
                revision,
                startMillis);
        decoded.put("u/" + id, new StateItem.UpstreamRegistration(entry));
        return new StoreItem("u/" + id, Body.empty(), revision);
    }

    private StoreItem ready(String id, long revision) {
        return upstream(id, revision, false, Duration.ZERO, 1);
    }

    private List<String> names() {
        return cache.snapshot(StoreRevision.of(ERA, 1)).upstreams("desk").stream()
                .map(LiveUpstream::name)
                .toList();
    }

    private ItemBatch batch(StoreItem... items) {
        ItemBatch batch = cache.newBatch();
        List.of(items).forEach(batch::written);
        return batch;
    }

    private ItemBatch removed(String key) {
        ItemBatch batch = cache.newBatch();
        batch.removed(key, 9);
        return batch;
    }

    /** Guards against hosts that stop following the store because of one entry that the decoder fails at. */
    @Test
    void entryThatTheDecoderFailsAtDoesNotKeepOthersFromBeingRead() {
        StoreItem odd = new StoreItem("u/odd", Body.empty(), 2);
        cache.applyListing(batch(ready("a", 1), odd, ready("b", 3)), ERA, false, 0);
        assertThat(names()).containsExactly("a", "b");
        cache.applyChanges(batch(odd), false, 0);
        cache.applyChanges(batch(ready("c", 4)), false, 0);
        assertThat(names()).containsExactly("a", "b", "c");
    }

    /** After an outage a missing entry stays in use for 2 s, unless its upstream was draining. */
    @ParameterizedTest
    @CsvSource({
        "false, false, 0,    false",
        "true,  false, 0,    true",
        "true,  false, 1990, true",
        "true,  false, 2010, false",
        "true,  true,  0,    false",
    })
    void missingEntryStaysInUseForTwoSecondsAfterAnOutage(
            boolean afterOutage, boolean draining, long millisLater, boolean inUse) {
        cache.applyListing(batch(upstream("a", 2, draining, Duration.ZERO, 1)), ERA, false, 0);
        cache.applyListing(batch(), ERA, afterOutage, SECOND);
        cache.dropExpired(SECOND + millisLater * 1_000_000);
        assertThat(names().contains("a")).isEqualTo(inUse);
    }

    @Test
    void entryRestoredWithinTheGracePeriodStays() {
        cache.applyListing(batch(ready("a", 2)), ERA, false, 0);
        cache.applyChanges(removed("u/a"), true, SECOND);
        cache.applyChanges(batch(ready("a", 10)), false, 2 * SECOND);
        cache.dropExpired(10 * SECOND);
        assertThat(names()).containsExactly("a");
        assertThat(cache.hasMissingEntries()).isFalse();
    }

    @Test
    void unchangedEntryInANewListingEndsTheGracePeriodAndKeepsItsColdTime() {
        cache.applyListing(batch(upstream("a", 2, false, Duration.ofSeconds(3), 1)), ERA, false, 0);
        cache.applyChanges(removed("u/a"), true, SECOND);
        cache.applyListing(batch(upstream("a", 2, false, Duration.ofSeconds(3), 1)), ERA, true, 2 * SECOND);
        cache.dropExpired(10 * SECOND);
        assertThat(names()).containsExactly("a");
        LiveUpstream upstream =
                cache.snapshot(StoreRevision.of(ERA, 1)).upstreams("desk").get(0);
        assertThat(upstream.cold(2 * SECOND)).isTrue();
        assertThat(upstream.cold(4 * SECOND)).isFalse();
    }

    @Test
    void unreadableEntryRemovesItsUpstream() {
        StoreItem good = ready("a", 2);
        cache.applyListing(batch(good, ready("b", 3)), ERA, false, 0);
        decoded.remove("u/a");
        cache.applyChanges(batch(new StoreItem("u/a", Body.empty(), 4)), false, SECOND);
        assertThat(names()).containsExactly("b");
    }

    @Test
    void drainedDomainExcludesItsUpstreamsUntilTheDrainIsRemoved() {
        decoded.put("d/gulf-a", new StateItem.DomainDrain("gulf-a"));
        cache.applyListing(batch(ready("a", 2)), ERA, false, 0);
        cache.applyChanges(batch(new StoreItem("d/gulf-a", Body.empty(), 3)), false, 0);
        assertThat(names()).isEmpty();
        cache.applyChanges(removed("d/gulf-a"), false, 0);
        assertThat(names()).containsExactly("a");
    }

    @Test
    void routesVersionNeverDecreases() {
        for (long version : new long[] {5, 3, 7, 6}) {
            decoded.put("routes", new StateItem.Routes(table(version)));
            cache.applyChanges(batch(new StoreItem("routes", Body.empty(), version)), false, 0);
        }
        assertThat(cache.snapshot(StoreRevision.of(ERA, 1)).routesVersion()).isEqualTo(7);
    }

    @Test
    void restartUnderTheSameIdCountsAsNew() {
        cache.applyListing(batch(ready("a", 2)), ERA, false, 0);
        cache.applyChanges(batch(upstream("a", 3, false, Duration.ZERO, 2)), false, 5 * SECOND);
        assertThat(cache.snapshot(StoreRevision.of(ERA, 1))
                        .upstreams("desk")
                        .get(0)
                        .firstSeenNanos())
                .isEqualTo(5 * SECOND);
    }

    /**
     * What a host does with the entry that an older copy of the store brings back, after it has seen a later report.
     * The entry that the host saw last has sequence 5 and start 1.
     */
    @ParameterizedTest
    @CsvSource({
        // seen last, copy: draining, sequence, start, in use
        "ready,    false, 4, 1, true",
        "draining, false, 4, 1, false",
        "draining, false, 6, 1, false",
        "draining, false, 1, 2, true",
        "removed,  false, 4, 1, false",
        "removed,  false, 5, 1, false",
        "removed,  false, 6, 1, true",
        "removed,  false, 1, 2, true",
        "ready,    true,  6, 1, false",
        "restarted, false, 5, 1, true",
    })
    void entryFromAnOlderCopyDoesNotUndoALaterReport(
            String seen, boolean draining, long sequence, long start, boolean inUse) {
        cache.applyListing(batch(upstream("a", 5, seen.equals("draining"), Duration.ZERO, 1)), ERA, false, 0);
        if (seen.equals("removed")) {
            cache.applyChanges(removed("u/a"), false, 0);
        }
        if (seen.equals("restarted")) {
            cache.applyChanges(batch(upstream("a", 6, false, Duration.ZERO, 2)), false, 0);
        }
        StoreItem copy = upstream("a", sequence, draining, Duration.ZERO, start);
        cache.applyListing(batch(copy), ERA + 1, true, SECOND);
        assertThat(names().contains("a")).isEqualTo(inUse);
        if (seen.equals("restarted")) {
            assertThat(cache.snapshot(StoreRevision.of(ERA + 1, 1))
                            .upstreams("desk")
                            .get(0)
                            .startMillis())
                    .isEqualTo(2);
        }
    }

    /** A revision that a new era gives out again names another change. */
    @Test
    void equalRevisionOfANewEraIsNotTheSameEntry() {
        cache.applyListing(batch(ready("a", 5)), ERA, false, 0);
        StoreItem draining = upstream("a", 6, true, Duration.ZERO, 1);
        cache.applyListing(batch(new StoreItem("u/a", draining.value(), 5)), ERA + 1, true, SECOND);
        assertThat(names()).isEmpty();
    }

    /** The remaining cold time of an old report must not be counted again from the time of the roll-back. */
    @Test
    void warmUpstreamStaysWarmWhenItsOldReportIsListedInANewEra() {
        cache.applyListing(batch(upstream("a", 5, false, Duration.ofSeconds(3), 1)), ERA, false, 0);
        cache.applyListing(batch(upstream("a", 5, false, Duration.ofSeconds(3), 1)), ERA + 1, true, 10 * SECOND);
        LiveUpstream upstream =
                cache.snapshot(StoreRevision.of(ERA + 1, 1)).upstreams("desk").get(0);
        assertThat(upstream.cold(10 * SECOND)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"false, 0, true", "true, 1990, false", "true, 2010, true"})
    void drainThatANewEraLacksStaysForTheGracePeriod(boolean newEra, long millisLater, boolean inUse) {
        decoded.put("d/gulf-a", new StateItem.DomainDrain("gulf-a"));
        cache.applyListing(batch(ready("a", 2), new StoreItem("d/gulf-a", Body.empty(), 3)), ERA, false, 0);
        cache.applyListing(batch(ready("a", 2)), newEra ? ERA + 1 : ERA, newEra, SECOND);
        cache.dropExpired(SECOND + millisLater * 1_000_000);
        assertThat(names().contains("a")).isEqualTo(inUse);
    }

    @Test
    void drainWrittenAgainInANewEraStays() {
        decoded.put("d/gulf-a", new StateItem.DomainDrain("gulf-a"));
        StoreItem drain = new StoreItem("d/gulf-a", Body.empty(), 3);
        cache.applyListing(batch(ready("a", 2), drain), ERA, false, 0);
        cache.applyListing(batch(ready("a", 2)), ERA + 1, true, SECOND);
        cache.applyChanges(batch(drain), false, 2 * SECOND);
        cache.dropExpired(10 * SECOND);
        assertThat(names()).isEmpty();
    }

    /** Guards against another host's configuration that takes this one back, or that is no configuration. */
    @Test
    void configurationOfAnotherHostIsInstalledOnlyIfItIsLater() {
        decoded.put("config", new StateItem.Routes(table(5)));
        cache.applyListing(batch(new StoreItem("config", Body.of("five"), 1)), ERA, false, 0);
        assertThat(cache.configuration()).contains(new ConfigurationItem(5, "config", Body.of("five")));
        assertThat(cache.installRoutesFromPeer("config", Body.of("five"))).isFalse();
        assertThat(cache.installRoutesFromPeer("unreadable", Body.of("x"))).isFalse();
        decoded.put("config", new StateItem.Routes(table(7)));
        assertThat(cache.installRoutesFromPeer("config", Body.of("seven"))).isTrue();
        decoded.put("config", new StateItem.Routes(table(6)));
        cache.applyListing(batch(new StoreItem("config", Body.of("six"), 2)), ERA, false, 0);
        assertThat(cache.snapshot(StoreRevision.of(ERA, 2)).routesVersion()).isEqualTo(7);
        assertThat(cache.configuration()).contains(new ConfigurationItem(7, "config", Body.of("seven")));
    }

    private static RouteTable table(long version) {
        CallerLimits limits = new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO);
        return RouteTable.of(version, limits, List.of(), List.of());
    }
}
