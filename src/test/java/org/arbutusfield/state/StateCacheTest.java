package org.arbutusfield.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.route.CallerLimits;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.store.ItemChange;
import org.arbutusfield.store.StoreItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The cached state during outages in which entries expire, and with unreadable entries. */
class StateCacheTest {
    private static final long SECOND = 1_000_000_000L;

    private final Map<String, StateItem> decoded = new HashMap<>();
    private final StateCache cache = StateCache.create(this::decode, Map.of("gulf-a", "gulf", "delta-a", "delta"));

    private Either<Failure, StateItem> decode(String key, byte[] value) {
        return decoded.containsKey(key)
                ? Either.right(decoded.get(key))
                : Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key));
    }

    private StoreItem upstream(String id, long revision, boolean draining, Duration cold, long startMillis) {
        UpstreamEntry entry = new UpstreamEntry(
                id, "desk", "gulf-a", Addresses.parse("127.0.0.1:9000").orElseThrow(), 3, draining, cold, startMillis);
        decoded.put("u/" + id, new StateItem.UpstreamRegistration(entry));
        return new StoreItem("u/" + id, Body.empty(), revision);
    }

    private StoreItem ready(String id, long revision) {
        return upstream(id, revision, false, Duration.ZERO, 1);
    }

    private List<String> names() {
        return cache.snapshot(1).upstreams("desk").stream()
                .map(LiveUpstream::name)
                .toList();
    }

    private static List<ItemChange> written(StoreItem item) {
        return List.of(new ItemChange(item.key(), item.revision(), Optional.of(item)));
    }

    private static List<ItemChange> removed(String key) {
        return List.of(new ItemChange(key, 9, Optional.empty()));
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
        cache.applyListing(List.of(upstream("a", 2, draining, Duration.ZERO, 1)), false, 0);
        cache.applyListing(List.of(), afterOutage, SECOND);
        cache.dropExpired(SECOND + millisLater * 1_000_000);
        assertThat(names().contains("a")).isEqualTo(inUse);
    }

    @Test
    void entryRestoredWithinTheGracePeriodStays() {
        cache.applyListing(List.of(ready("a", 2)), false, 0);
        cache.applyChanges(removed("u/a"), true, SECOND);
        cache.applyChanges(written(ready("a", 10)), false, 2 * SECOND);
        cache.dropExpired(10 * SECOND);
        assertThat(names()).containsExactly("a");
        assertThat(cache.hasMissingEntries()).isFalse();
    }

    @Test
    void unchangedEntryInANewListingEndsTheGracePeriodAndKeepsItsColdTime() {
        cache.applyListing(List.of(upstream("a", 2, false, Duration.ofSeconds(3), 1)), false, 0);
        cache.applyChanges(removed("u/a"), true, SECOND);
        cache.applyListing(List.of(upstream("a", 2, false, Duration.ofSeconds(3), 1)), true, 2 * SECOND);
        cache.dropExpired(10 * SECOND);
        assertThat(names()).containsExactly("a");
        LiveUpstream upstream = cache.snapshot(1).upstreams("desk").get(0);
        assertThat(upstream.cold(2 * SECOND)).isTrue();
        assertThat(upstream.cold(4 * SECOND)).isFalse();
    }

    @Test
    void unreadableEntryRemovesItsUpstream() {
        StoreItem good = ready("a", 2);
        cache.applyListing(List.of(good, ready("b", 3)), false, 0);
        decoded.remove("u/a");
        cache.applyChanges(written(new StoreItem("u/a", Body.empty(), 4)), false, SECOND);
        assertThat(names()).containsExactly("b");
    }

    @Test
    void drainedDomainExcludesItsUpstreamsUntilTheDrainIsRemoved() {
        decoded.put("d/gulf-a", new StateItem.DomainDrain("gulf-a"));
        cache.applyListing(List.of(ready("a", 2)), false, 0);
        cache.applyChanges(written(new StoreItem("d/gulf-a", Body.empty(), 3)), false, 0);
        assertThat(names()).isEmpty();
        cache.applyChanges(removed("d/gulf-a"), false, 0);
        assertThat(names()).containsExactly("a");
    }

    @Test
    void routesVersionNeverDecreases() {
        for (long version : new long[] {5, 3, 7, 6}) {
            decoded.put("routes", new StateItem.Routes(table(version)));
            cache.applyChanges(written(new StoreItem("routes", Body.empty(), version)), false, 0);
        }
        assertThat(cache.snapshot(1).routesVersion()).isEqualTo(7);
    }

    @Test
    void restartUnderTheSameIdCountsAsNew() {
        cache.applyListing(List.of(ready("a", 2)), false, 0);
        cache.applyChanges(written(upstream("a", 3, false, Duration.ZERO, 2)), false, 5 * SECOND);
        assertThat(cache.snapshot(1).upstreams("desk").get(0).firstSeenNanos()).isEqualTo(5 * SECOND);
    }

    private static RouteTable table(long version) {
        CallerLimits limits = new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO);
        return RouteTable.of(version, limits, List.of(), List.of());
    }
}
