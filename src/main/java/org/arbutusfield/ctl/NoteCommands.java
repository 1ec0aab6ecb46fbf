package org.arbutusfield.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Drain;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.EntityKey;
import org.arbutusfield.note.HistoryEntry;
import org.arbutusfield.note.NoteApplier;
import org.arbutusfield.note.NoteReader;
import org.arbutusfield.note.ReleaseNote;

/** Commands that read or apply release notes. */
final class NoteCommands {
    private final ConfigurationRepository repository;

    private NoteCommands(ConfigurationRepository repository) {
        this.repository = repository;
    }

    /** Creates the commands for a repository. */
    static NoteCommands of(ConfigurationRepository repository) {
        return new NoteCommands(repository);
    }

    /** Checks a note against the current configuration; returns the configuration that would result from it. */
    Either<List<Failure>, Configuration> check(String file) {
        return readNote(file).flatMap(note -> currentConfiguration().flatMap(state -> NoteApplier.apply(state, note)));
    }

    /** Returns the changes that a note would make, one line per item. */
    Either<List<Failure>, List<String>> diff(String file) {
        return readNote(file).flatMap(note -> currentConfiguration().map(state -> diff(state, note)));
    }

    /** Applies the note in a file. */
    Either<List<Failure>, Configuration> apply(String file) {
        return readNote(file).flatMap(note -> repository.apply(note).join());
    }

    /** Applies a note that adds or withdraws one drain, written against the current revision. */
    Either<List<Failure>, Configuration> drain(String target, boolean add, Optional<String> noteId) {
        return parseDrain(target)
                .flatMap(drain -> currentConfiguration().flatMap(state -> {
                    String id = noteId.orElse((add ? "drain-" : "undrain-") + (state.revision() + 1));
                    ReleaseNote note = add
                            ? new ReleaseNote(id, state.revision(), List.of(drain), List.of(), List.of())
                            : new ReleaseNote(
                                    id,
                                    state.revision(),
                                    List.of(),
                                    List.of(),
                                    List.of(new EntityKey(Kind.DRAIN, drain.key())));
                    return repository.apply(note).join();
                }));
    }

    /** Returns the history entry of an applied note, if it is still in the history. */
    Either<List<Failure>, Optional<HistoryEntry>> find(String noteId) {
        return repository
                .history(Integer.MAX_VALUE)
                .join()
                .mapLeft(List::of)
                .map(entries -> entries.stream()
                        .filter(entry -> entry.noteId().equals(noteId))
                        .findFirst());
    }

    /** Returns the current configuration from the store. */
    Either<List<Failure>, Configuration> currentConfiguration() {
        return repository.latest().join().mapLeft(List::of);
    }

    private static Either<List<Failure>, ReleaseNote> readNote(String file) {
        try {
            return NoteReader.read(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorCode.USAGE, file, e.toString())));
        }
    }

    private static Either<List<Failure>, Drain> parseDrain(String target) {
        String[] parts = target.split(":", 2);
        Optional<Drain.Target> kind = Stream.of(Drain.Target.values())
                .filter(t -> t.name().equals(parts[0].toUpperCase(Locale.ROOT)))
                .findFirst();
        if (parts.length < 2 || kind.isEmpty()) {
            return Either.left(List.of(Failure.of(ErrorCode.USAGE, target, "expected TARGET:NAME")));
        }
        return Either.right(new Drain(kind.get(), parts[1]));
    }

    private static List<String> diff(Configuration state, ReleaseNote note) {
        List<String> lines = new ArrayList<>();
        note.withdrawn().forEach(key -> lines.add("- " + key.kind().field() + " " + key.key()));
        for (Entity item : note.changed()) {
            String before =
                    state.find(item.kind(), item.key()).map(Entity::toString).orElse("(missing)");
            lines.add("~ " + item.kind().field() + " " + item.key() + ": " + before + " -> " + item);
        }
        note.added().forEach(item -> lines.add("+ " + item.kind().field() + " " + item));
        return lines;
    }
}
