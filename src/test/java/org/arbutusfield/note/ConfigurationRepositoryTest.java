package org.arbutusfield.note;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.lab.StoreFault;
import org.arbutusfield.lab.StoreFaults;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.Region;
import org.arbutusfield.store.Store;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;

class ConfigurationRepositoryTest {
    private final VirtualTimer timer = VirtualTimer.create();
    private final MemoryStore store = MemoryStore.create(timer, Duration.ofMillis(500));
    private final ConfigurationRepository repository = ConfigurationRepository.of(store, timer);

    @Test
    void appliesConsecutiveNotes() {
        assertThat(await(repository.latest()).get()).isEqualTo(Configuration.empty());
        assertThat(apply(noteAddingRegion("a", 0)).get().revision()).isEqualTo(1);
        assertThat(apply(noteAddingRegion("b", 1)).get().revision()).isEqualTo(2);
        ConfigurationRepository other = ConfigurationRepository.of(store);
        assertThat(await(other.latest()).get())
                .isEqualTo(await(repository.latest()).get());
        assertThat(await(other.at(1)).get().table(Kind.REGION)).containsOnlyKeys("a");
    }

    @Test
    void reapplyingAnOlderNoteReportsItsRevision() {
        apply(noteAddingRegion("a", 0));
        apply(noteAddingRegion("b", 1));
        apply(noteAddingRegion("c", 2));
        assertThat(apply(noteAddingRegion("a", 0)).get().revision()).isEqualTo(1);
        assertThat(await(repository.pointer()).get().revision()).isEqualTo(3);
    }

    @Test
    void refusesReusedIdWithDifferentContent() {
        apply(noteAddingRegion("a", 0));
        ReleaseNote other = new ReleaseNote("a", 1, List.of(new Region("x", 1)), List.of(), List.of());
        assertThat(NoteFixtures.failures(apply(other))).containsExactly("NOTE_ID_REUSED a");
    }

    @Test
    void conflictListsInterveningNotes() {
        apply(noteAddingRegion("a", 0));
        apply(noteAddingRegion("b", 1));
        Failure conflict = apply(noteAddingRegion("late", 1)).getLeft().get(0);
        assertThat(conflict.code()).isEqualTo(ErrorCode.NOTE_CONFLICT);
        assertThat(conflict.detail())
                .contains("running is 2")
                .contains("b (regions/b)")
                .doesNotContain("a (regions/a");
        Failure ahead = apply(noteAddingRegion("early", 9)).getLeft().get(0);
        assertThat(ahead.detail()).contains("the store holds only 2");
    }

    @Test
    void resolvesLostResponseOfRootWrite() {
        injectRootWriteFaults(1, StoreFault.responseLost());
        assertThat(apply(noteAddingRegion("a", 0)).get().revision()).isEqualTo(1);
        injectRootWriteFaults(1, StoreFault.requestLost());
        assertThat(apply(noteAddingRegion("b", 1)).get().revision()).isEqualTo(2);
        injectRootWriteFaults(1, StoreFault.delayedRequest(Duration.ofSeconds(3)));
        assertThat(apply(noteAddingRegion("c", 2)).get().revision()).isEqualTo(3);
        timer.advance(Duration.ofSeconds(10));
        assertThat(await(repository.history(10)).get().stream().map(HistoryEntry::noteId))
                .containsExactly("c", "b", "a");
    }

    @Test
    void reportsUnknownOutcomeWhenRetriesFail() {
        AtomicInteger writes = new AtomicInteger();
        store.injectFaults(call -> {
            if (call.kind() != StoreCall.Kind.WRITE || !call.key().equals(ConfigurationRepository.ROOT_KEY)) {
                return StoreFault.none();
            }
            return writes.getAndIncrement() == 0 ? StoreFault.responseLost() : StoreFault.down();
        });
        Failure failure = apply(noteAddingRegion("a", 0)).getLeft().get(0);
        assertThat(failure.notRun()).isFalse();
        store.injectFaults(StoreFaults.none());
        assertThat(apply(noteAddingRegion("a", 0)).get().revision()).isEqualTo(1);
    }

    @Test
    void unavailableStoreLeavesStateUnchanged() {
        apply(noteAddingRegion("a", 0));
        store.injectFaults(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.down()));
        Failure failure = apply(noteAddingRegion("b", 1)).getLeft().get(0);
        assertThat(failure.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
        store.injectFaults(StoreFaults.none());
        assertThat(await(repository.pointer()).get().revision()).isEqualTo(1);
    }

    @Test
    void writesReferencedSegmentsBeforeRoot() {
        List<String> order = new ArrayList<>();
        store.injectFaults(call -> {
            if (call.kind() == StoreCall.Kind.WRITE) {
                order.add(call.key());
            }
            return StoreFault.none();
        });
        apply(noteAddingRegion("a", 0));
        assertThat(order).last().isEqualTo(ConfigurationRepository.ROOT_KEY);
        Set<String> before = new HashSet<>(order.subList(0, order.size() - 1));
        ConfigurationSnapshot snapshot =
                await(ConfigurationRepository.of(store).latestSnapshot()).get();
        snapshot.digests().forEach(d -> assertThat(before).contains(SegmentStore.keyOf(d)));
        assertThat(before).contains(SegmentStore.keyOf(snapshot.pointer().digest()));
    }

    @Test
    void smallNoteOnLargeStateTakesThreeWrites() {
        List<org.arbutusfield.model.Entity> regions = new ArrayList<>();
        NoteFixtures.times(3000, i -> regions.add(new Region("r" + i, 1)));
        apply(new ReleaseNote("big", 0, regions, List.of(), List.of()));
        long before = store.count(StoreCall.Kind.WRITE);
        apply(new ReleaseNote("small", 1, List.of(), List.of(new Region("r1500", 2)), List.of()));
        assertThat(store.count(StoreCall.Kind.WRITE) - before).isEqualTo(3);
    }

    @Test
    void findsOldNotesAfterHistoryMovesToSegments() {
        NoteFixtures.times(
                300,
                i -> assertThat(apply(noteAddingRegion("n" + i, i)).isRight()).isTrue());
        ConfigurationRepository other = ConfigurationRepository.of(store);
        assertThat(await(other.apply(noteAddingRegion("n3", 3))).get().revision())
                .isEqualTo(4);
        assertThat(await(other.history(300)).get())
                .extracting(HistoryEntry::revision)
                .startsWith(300L, 299L)
                .hasSize(300);
        assertThat(await(other.at(2)).get().table(Kind.REGION)).containsOnlyKeys("n0", "n1");
        assertThat(await(other.at(301)).getLeft().code()).isEqualTo(ErrorCode.NOTE_NOT_FOUND);
        assertThat(store.peek(ConfigurationRepository.ROOT_KEY).get().value().length)
                .isLessThan(Store.MAX_VALUE_BYTES);
    }

    @Test
    void reportsDamagedSegmentAsCorrupt() {
        apply(noteAddingRegion("a", 0));
        ConfigurationSnapshot snapshot = await(repository.latestSnapshot()).get();
        String key = SegmentStore.keyOf(snapshot.digests().iterator().next());
        await(store.compareAndSwap(key, 1, new byte[] {1}));
        assertThat(await(ConfigurationRepository.of(store).latest()).getLeft().code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    private void injectRootWriteFaults(int count, StoreFault fault) {
        AtomicInteger remaining = new AtomicInteger(count);
        store.injectFaults(call -> call.kind() == StoreCall.Kind.WRITE
                        && call.key().equals(ConfigurationRepository.ROOT_KEY)
                        && remaining.getAndDecrement() > 0
                ? fault
                : StoreFault.none());
    }

    private Either<List<Failure>, Configuration> apply(ReleaseNote note) {
        return await(repository.apply(note));
    }

    private <T> T await(CompletableFuture<T> result) {
        boolean timersPending = true;
        while (timersPending && !result.isDone()) {
            timersPending = timer.step();
        }
        return result.join();
    }

    private static ReleaseNote noteAddingRegion(String name, long against) {
        return new ReleaseNote(name, against, List.of(new Region(name, 1)), List.of(), List.of());
    }
}
