package org.arbutusfield.note;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.lab.StoreFault;
import org.arbutusfield.lab.StoreFaults;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Region;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Applies notes from several concurrent writers to a store that loses, delays and rejects calls. The resulting history
 * must be linearizable.
 */
class NoteRaceTest {
    private static final Duration TIMEOUT = Duration.ofMillis(100);
    private static final int WRITERS = 5;
    private static final int NOTES_PER_WRITER = 8;
    private static final int MAX_ATTEMPTS = 200;

    private final VirtualTimer timer = VirtualTimer.create();
    private final MemoryStore store = MemoryStore.create(timer, TIMEOUT);
    private final List<Operation> operations = new ArrayList<>();

    @Property(tries = 60, seed = "4201")
    void appliedNotesAreLinearizable(@ForAll long seed) {
        new NoteRaceTest().race(seed);
    }

    private void race(long seed) {
        Random random = new Random(seed);
        store.injectFaults(call -> randomFault(random, call));
        List<CompletableFuture<Void>> writers = new ArrayList<>();
        NoteFixtures.times(
                WRITERS, w -> writers.add(write(ConfigurationRepository.of(store, timer), "w" + w + "-", 0)));
        CompletableFuture<Void> all = CompletableFuture.allOf(writers.toArray(CompletableFuture[]::new));
        boolean timersPending = true;
        while (timersPending && !all.isDone()) {
            timersPending = timer.step();
        }
        assertThat(all).as("seed %d", seed).isCompleted();
        store.injectFaults(StoreFaults.none());
        timer.advance(TIMEOUT.multipliedBy(20));
        check(seed);
    }

    private void check(long seed) {
        List<HistoryEntry> history =
                ConfigurationRepository.of(store).history(1000).join().get();
        Map<String, Long> revisions = new HashMap<>();
        for (int i = 0; i < history.size(); i++) {
            assertThat(history.get(i).revision()).as("gapless, seed %d", seed).isEqualTo(history.size() - i);
            assertThat(revisions.put(history.get(i).noteId(), history.get(i).revision()))
                    .as("once, seed %d", seed)
                    .isNull();
        }
        assertThat(history).as("some accepted, seed %d", seed).isNotEmpty();
        for (Operation operation : operations) {
            assertThat(revisions.getOrDefault(operation.noteId, Operation.REFUSED))
                    .as("%s, seed %d", operation, seed)
                    .isEqualTo(operation.revision);
        }
        for (Operation first : operations) {
            for (Operation second : operations) {
                if (first.endNanos < second.startNanos && first.accepted() && second.accepted()) {
                    assertThat(first.revision)
                            .as("%s before %s, seed %d", first, second, seed)
                            .isLessThan(second.revision);
                }
            }
        }
    }

    private CompletableFuture<Void> write(ConfigurationRepository repository, String name, int index) {
        if (index == NOTES_PER_WRITER) {
            return CompletableFuture.completedFuture(null);
        }
        String id = name + index;
        return repository.latest().thenCompose(read -> {
            long against = read.map(Configuration::revision).getOrElse(0L);
            ReleaseNote note = new ReleaseNote(id, against, List.of(new Region(id, 1)), List.of(), List.of());
            long start = timer.nowNanos();
            return applyUntilKnown(repository, note, false, MAX_ATTEMPTS)
                    .thenAccept(revision -> operations.add(new Operation(id, start, timer.nowNanos(), revision)))
                    .thenCompose(done -> write(repository, name, index + 1));
        });
    }

    /**
     * Applies the note again while its outcome is unknown, as operators are instructed to do. A failure without effect
     * concerns only its own call; the outcome of an earlier call with an unknown outcome remains unknown.
     */
    private CompletableFuture<Long> applyUntilKnown(
            ConfigurationRepository repository, ReleaseNote note, boolean pending, int attemptsLeft) {
        return repository.apply(note).thenCompose(result -> {
            boolean storeFailed = result.isLeft() && result.getLeft().get(0).code() != ErrorCode.NOTE_CONFLICT;
            boolean unknown =
                    storeFailed && (pending || !result.getLeft().get(0).notRun());
            if (unknown && attemptsLeft > 0) {
                return applyUntilKnown(repository, note, true, attemptsLeft - 1);
            }
            assertThat(unknown).as("outcome of %s", note.id()).isFalse();
            return CompletableFuture.completedFuture(revision(result));
        });
    }

    private static long revision(Either<List<Failure>, Configuration> result) {
        result.peekLeft(failures ->
                assertThat(failures.get(0).code()).isIn(ErrorCode.NOTE_CONFLICT, ErrorCode.STORE_UNAVAILABLE));
        return result.map(Configuration::revision).getOrElse(Operation.REFUSED);
    }

    private static StoreFault randomFault(Random random, StoreCall call) {
        Duration delay = Duration.ofMillis(1 + random.nextInt(20));
        boolean write = call.kind() == StoreCall.Kind.WRITE;
        return switch (random.nextInt(12)) {
            case 0 -> StoreFault.responseLost();
            case 1 -> StoreFault.requestLost();
            case 2 -> StoreFault.down();
            case 3 ->
                write ? StoreFault.delayedRequest(TIMEOUT.multipliedBy(1 + random.nextInt(6))) : StoreFault.slow(delay);
            default -> StoreFault.slow(delay);
        };
    }

    private record Operation(String noteId, long startNanos, long endNanos, long revision) {
        private static final long REFUSED = -1;

        private boolean accepted() {
            return revision != REFUSED;
        }
    }
}
