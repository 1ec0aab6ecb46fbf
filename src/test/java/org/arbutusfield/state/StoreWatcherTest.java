package org.arbutusfield.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.PageEnd;
import org.arbutusfield.store.StoreItem;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Watching the store through outages in virtual time, and the number of calls that this takes. */
class StoreWatcherTest {
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofMillis(2400);

    private final VirtualTimer timer = VirtualTimer.create();
    private final ScriptedStore store = new ScriptedStore();
    private final StoreHealth health = StoreHealth.create();
    private SteeringState state = SteeringState.empty();
    private boolean subscriberFails;
    private StoreWatcher watcher;

    /** What the store answers to a watch: keys that were removed, and the revision. */
    private record Changes(List<String> removed, StoreRevision revision) {}

    /** A watch that the test completes. */
    private record OpenWatch(ItemSink sink, CompletableFuture<Either<Failure, StoreRevision>> result) {
        private void complete(Either<Failure, Changes> answer) {
            answer.forEach(changes -> changes.removed()
                    .forEach(key -> sink.removed(key, changes.revision().number())));
            result.complete(answer.map(Changes::revision));
        }
    }

    /** A store whose responses the test controls; a watch stays open until the test completes it. */
    private static final class ScriptedStore implements WatchableStore {
        private final List<StoreItem> items = new ArrayList<>();
        private final List<OpenWatch> watches = new ArrayList<>();
        private Optional<Error> errorOfTheNextCall = Optional.empty();
        private Optional<ErrorCode> failure = Optional.empty();
        private int listCount;
        private boolean listsHang;
        private int pageSize = 100;
        private long revision = 10;
        private long era = 1;

        private <T> CompletableFuture<Either<Failure, T>> respond(T value) {
            return CompletableFuture.completedFuture(
                    failure.<Either<Failure, T>>map(code -> Either.left(Failure.of(code)))
                            .orElseGet(() -> Either.right(value)));
        }

        @Override
        public CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String after, ItemSink sink) {
            listCount++;
            throwError();
            List<StoreItem> rest =
                    items.stream().filter(i -> i.key().compareTo(after) > 0).toList();
            List<StoreItem> page = rest.stream().limit(pageSize).toList();
            page.forEach(sink::written);
            if (listsHang) {
                return new CompletableFuture<>();
            }
            return respond(new PageEnd(rest.size() > page.size(), StoreRevision.of(era, revision)));
        }

        @Override
        public CompletableFuture<Either<Failure, StoreRevision>> watch(
                String prefix, StoreRevision after, Duration wait, ItemSink changes) {
            throwError();
            OpenWatch watch = new OpenWatch(changes, new CompletableFuture<>());
            watches.add(watch);
            failure.ifPresent(code -> watch.result().complete(Either.left(Failure.of(code))));
            return watch.result();
        }

        private void throwError() {
            errorOfTheNextCall.ifPresent(error -> {
                errorOfTheNextCall = Optional.empty();
                throw error;
            });
        }

        private void completeWatch(Either<Failure, Changes> result) {
            watches.get(watches.size() - 1).complete(result);
        }

        @Override
        public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long lease) {
            return respond(StoreRevision.of(era, revision));
        }

        @Override
        public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
                String key, byte[] value, long lease, long expectedRevision) {
            return respond(new ConditionalWrite(true, StoreRevision.of(era, revision)));
        }

        @Override
        public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
            return respond(StoreRevision.of(era, revision));
        }

        @Override
        public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
            return respond(new StoreLease(1, era));
        }

        @Override
        public CompletableFuture<Either<Failure, Long>> renewLease(long lease) {
            return respond(era);
        }

        @Override
        public CompletableFuture<Either<Failure, Long>> endLease(long lease) {
            return respond(lease);
        }
    }

    private static Either<Failure, StateItem> decode(String key, byte[] value) {
        return Either.right(new StateItem.UpstreamRegistration(new UpstreamEntry(
                key, "desk", "gulf-a", Addresses.parse("127.0.0.1:1").orElseThrow(), 3, false, Duration.ZERO, 1, 1)));
    }

    private static StoreItem item(String key) {
        return new StoreItem(key, Body.empty(), 5);
    }

    private void start(String... keys) {
        for (String key : keys) {
            store.items.add(item(key));
        }
        StateCache cache = StateCache.create(StoreWatcherTest::decode, Map.of("gulf-a", "gulf"));
        watcher = StoreWatcher.start(store, timer, cache, MAX_PROPAGATION_DELAY, health, this::accept);
        timer.advance(Duration.ofMillis(1));
    }

    private void accept(SteeringState next) {
        if (subscriberFails) {
            throw new IllegalStateException("test");
        }
        state = next;
    }

    private List<String> names() {
        return state.upstreams("desk").stream().map(LiveUpstream::name).toList();
    }

    private static Either<Failure, Changes> removed(String key) {
        return Either.right(new Changes(List.of(key), StoreRevision.of(1, 11)));
    }

    @Test
    void allPagesAreRead() {
        store.pageSize = 2;
        start("a", "b", "c", "d", "e");
        assertThat(names()).containsExactly("a", "b", "c", "d", "e");
        assertThat(store.listCount).isEqualTo(3);
    }

    @Test
    void removalAppliesAtOnceAndTheNextWatchIsDelayed() {
        start("a", "b");
        store.completeWatch(removed("a"));
        assertThat(names()).containsExactly("b");
        assertThat(store.watches).hasSize(1);
        timer.advance(MAX_PROPAGATION_DELAY.dividedBy(2).plusMillis(1));
        assertThat(store.watches).hasSize(2);
    }

    /** Guards against an upstream that starts again and whose new entry is read long after its connections told so. */
    @Test
    void signOfARestartShortensTheDelayOfTheNextWatch() {
        start("a", "b");
        store.completeWatch(removed("a"));
        watcher.refreshSoon();
        watcher.refreshSoon();
        timer.advance(Duration.ofMillis(100));
        assertThat(store.watches).as("at once").hasSize(1);
        timer.advance(Duration.ofMillis(200));
        assertThat(store.watches).as("soon").hasSize(2);
        timer.advance(MAX_PROPAGATION_DELAY);
        assertThat(store.watches).as("after the usual delay").hasSize(2);
    }

    /**
     * Guards against an upstream that starts again and whose new entry is read late, because another change came right
     * after its connections told so.
     */
    @Test
    void signOfARestartBeforeAnotherChangeShortensTheDelayAfterThatChange() {
        start("a", "b");
        watcher.refreshSoon();
        store.completeWatch(removed("a"));
        timer.advance(Duration.ofMillis(300));
        assertThat(store.watches).as("soon").hasSize(2);
        store.completeWatch(removed("b"));
        timer.advance(MAX_PROPAGATION_DELAY);
        assertThat(store.watches).hasSize(3);
    }

    /** A watch that is open tells of the next change anyway; another one would only cost. */
    @Test
    void signOfARestartOpensNoSecondWatch() {
        start("a", "b");
        watcher.refreshSoon();
        timer.advance(MAX_PROPAGATION_DELAY);
        assertThat(store.watches).hasSize(1);
    }

    @Test
    void removalInACompactedHistoryIsFoundByANewListing() {
        start("a", "b");
        store.items.remove(0);
        store.completeWatch(Either.left(Failure.of(ErrorCode.STORE_HISTORY_GONE)));
        assertThat(names()).containsExactly("b");
        assertThat(store.listCount).isEqualTo(2);
    }

    /** The state is kept through an outage of ten seconds, with at most about two calls per second. */
    @ParameterizedTest
    @EnumSource(
            value = ErrorCode.class,
            names = {"STORE_UNAVAILABLE", "STORE_TIMEOUT", "STORE_PROTOCOL"})
    void stateIsKeptThroughAnOutage(ErrorCode code) {
        start("a", "b");
        store.failure = Optional.of(code);
        store.completeWatch(Either.left(Failure.of(code)));
        timer.advance(Duration.ofSeconds(10));
        assertThat(names()).containsExactly("a", "b");
        assertThat(store.watches.size()).isBetween(10, 30);
        store.failure = Optional.empty();
        timer.advance(Duration.ofSeconds(1));
        store.completeWatch(removed("a"));
        assertThat(names()).as("in its grace period").containsExactly("a", "b");
        timer.advance(Duration.ofMillis(2200));
        assertThat(names()).containsExactly("b");
    }

    /** An outage in which the open watch neither fails nor gets a response, because the store has lost it. */
    @Test
    void outageDetectedOnlyByOtherCallsRenewsTheWatch() {
        start("a", "b");
        health.recordFailure();
        timer.advance(Duration.ofSeconds(2));
        health.recordAnswer();
        assertThat(store.watches).hasSize(2);
        store.watches.get(0).complete(removed("b"));
        assertThat(names()).as("the response of the lost watch is ignored").containsExactly("a", "b");
        store.completeWatch(removed("a"));
        assertThat(names()).as("in its grace period").containsExactly("a", "b");
        timer.advance(Duration.ofMillis(2200));
        assertThat(names()).containsExactly("b");
    }

    /** A watch that survived an outage reports an expired entry before any other call is answered. */
    @Test
    void removalFromAWatchThatSurvivedAnOutageGetsTheGracePeriod() {
        start("a", "b");
        health.recordFailure();
        store.completeWatch(removed("a"));
        assertThat(names()).as("in its grace period").containsExactly("a", "b");
    }

    /**
     * An upstream that stops more than a second after an outage is removed at once, although no lease was renewed since
     * the store returned.
     */
    @Test
    void removalWellAfterTheOutageAppliesAtOnce() {
        start("a", "b");
        health.recordFailure();
        store.completeWatch(Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE)));
        timer.advance(Duration.ofSeconds(1));
        store.completeWatch(Either.right(new Changes(List.of(), StoreRevision.of(1, 10))));
        timer.advance(Duration.ofMillis(1100));
        store.completeWatch(removed("a"));
        assertThat(names()).containsExactly("b");
    }

    /** Changes of a new era do not continue from the known revision, even without a notice that history is gone. */
    @Test
    void changesOfANewEraAreReplacedByAListing() {
        start("a", "b");
        store.era = 2;
        store.items.remove(0);
        store.completeWatch(Either.right(new Changes(List.of("b"), StoreRevision.of(2, 11))));
        assertThat(store.listCount).isEqualTo(2);
        assertThat(names()).as("a in its grace period, b listed").containsExactly("a", "b");
        timer.advance(Duration.ofMillis(2200));
        assertThat(names()).containsExactly("b");
        assertThat(state.revision()).isEqualTo(StoreRevision.of(2, 10));
    }

    /** A call other than the watch is the first to be answered in the new era. */
    @Test
    void newEraSeenByAnotherCallRenewsTheWatch() {
        start("a");
        health.recordEra(2);
        assertThat(store.watches).hasSize(2);
    }

    /** A store without eras behaves as before: an empty answer neither lists again nor goes back. */
    @Test
    void answersWithoutAnEraContinueTheWatch() {
        store.era = StoreRevision.UNKNOWN_ERA;
        start("a", "b");
        store.completeWatch(Either.right(new Changes(List.of(), StoreRevision.of(StoreRevision.UNKNOWN_ERA, 9))));
        assertThat(store.listCount).isEqualTo(1);
        assertThat(state.revision().number()).isEqualTo(10);
    }

    /** Guards against a host that follows the store no more, for good and without a log line, after one error. */
    @Test
    void watchGoesOnAfterACallThatBrokeOff() {
        start("a");
        store.items.add(item("b"));
        store.watches.get(0).result().completeExceptionally(new OutOfMemoryError("test"));
        timer.advance(Duration.ofSeconds(2));
        assertThat(names()).containsExactly("a", "b");
        assertThat(store.watches).hasSize(2);
    }

    /** The same after an error in what takes the new state. */
    @Test
    void watchGoesOnAfterAnErrorOfItsSubscriber() {
        start("a");
        subscriberFails = true;
        store.completeWatch(removed("a"));
        subscriberFails = false;
        store.items.clear();
        store.items.add(item("b"));
        timer.advance(Duration.ofSeconds(2));
        assertThat(names()).containsExactly("b");
    }

    /** The same after a call that never completes, although each call has a timeout. */
    @Test
    void watchThatIsOverdueIsBegunAgain() {
        start("a");
        store.items.add(item("b"));
        timer.advance(Duration.ofSeconds(9));
        assertThat(store.watches).hasSizeGreaterThan(1);
        assertThat(names()).containsExactly("a", "b");
    }

    /** The other side: a watch that waits for a change isn't begun again before its time. */
    @Test
    void watchThatWaitsIsLeftAlone() {
        start("a");
        timer.advance(Duration.ofSeconds(4));
        assertThat(store.watches).hasSize(1);
    }

    /** Guards against a host that follows the store no more after an error that a call throws before it is made. */
    @Test
    void watchGoesOnAfterAnErrorBeforeACall() {
        start("a");
        store.items.add(item("b"));
        store.errorOfTheNextCall = Optional.of(new OutOfMemoryError("test"));
        store.completeWatch(Either.right(new Changes(List.of(), StoreRevision.of(1, 10))));
        store.errorOfTheNextCall = Optional.of(new OutOfMemoryError("test"));
        timer.advance(Duration.ofSeconds(3));
        assertThat(names()).containsExactly("a", "b");
    }

    /**
     * The same after a listing that never completes: the check that begins it again isn't ended by an answer before.
     */
    @Test
    void listingThatIsOverdueIsBegunAgain() {
        start("a");
        store.items.add(item("b"));
        store.listsHang = true;
        store.completeWatch(Either.left(Failure.of(ErrorCode.STORE_HISTORY_GONE)));
        timer.advance(Duration.ofSeconds(5));
        store.listsHang = false;
        assertThat(names()).containsExactly("a");
        timer.advance(Duration.ofSeconds(6));
        assertThat(names()).containsExactly("a", "b");
    }

    /**
     * The same if the error hits the recovery from another one: whatever became of the last step, the next one comes.
     */
    @Test
    void watchGoesOnAfterAnErrorOfItsRecovery() {
        start("a");
        store.items.add(item("b"));
        watcher.onOutage(() -> {
            throw new OutOfMemoryError("test");
        });
        store.watches.get(0).result().completeExceptionally(new OutOfMemoryError("test"));
        timer.advance(Duration.ofSeconds(2));
        assertThat(names()).containsExactly("a", "b");
    }

    /** Guards against an answer that is too large, and is asked for again and again. */
    @Test
    void storeIsListedAfterAnAnswerThatCannotBeUsed() {
        start("a");
        store.items.add(item("b"));
        store.completeWatch(Either.left(Failure.of(ErrorCode.STORE_ANSWER_UNUSABLE)));
        timer.advance(Duration.ofSeconds(1));
        assertThat(store.listCount).isEqualTo(2);
        assertThat(names()).containsExactly("a", "b");
    }

    /** The other side: while the store can't be reached, the watch is tried again, and nothing is listed. */
    @Test
    void storeIsNotListedWhileItCannotBeReached() {
        start("a");
        store.failure = Optional.of(ErrorCode.STORE_UNAVAILABLE);
        store.completeWatch(Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE)));
        timer.advance(Duration.ofSeconds(30));
        assertThat(store.listCount).isEqualTo(1);
    }
}
