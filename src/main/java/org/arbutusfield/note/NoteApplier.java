package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/** Works out the running state that a note leads to. Pure: the current state is never changed. */
public final class NoteApplier {
    private NoteApplier() {}

    /**
     * Applies a note to a state.
     *
     * @param current the running state
     * @param note a note written against {@code current.revision()}
     * @return the next state, or every fault found
     */
    public static Either<List<Failure>, Configuration> apply(Configuration current, ReleaseNote note) {
        if (note.against() != current.revision()) {
            return Either.left(List.of(Failure.of(
                    ErrorCode.NOTE_CONFLICT,
                    note.id(),
                    "written against " + note.against() + ", running is " + current.revision())));
        }
        List<Failure> faults = new ArrayList<>();
        Map<EntityKey, Entity> items = new LinkedHashMap<>();
        for (Kind kind : Kind.values()) {
            current.table(kind).values().forEach(item -> items.put(keyOf(item), item));
        }
        for (EntityKey key : note.withdrawn()) {
            if (items.remove(key) == null) {
                faults.add(Failure.of(ErrorCode.NOTE_NOT_FOUND, key.kind().field() + "/" + key.key()));
            }
        }
        for (Entity item : note.changed()) {
            if (items.replace(keyOf(item), item) == null) {
                faults.add(Failure.of(ErrorCode.NOTE_NOT_FOUND, item.kind().field() + "/" + item.key()));
            }
        }
        for (Entity item : note.added()) {
            if (items.putIfAbsent(keyOf(item), item) != null) {
                faults.add(Failure.of(ErrorCode.NOTE_ALREADY_EXISTS, item.kind().field() + "/" + item.key()));
            }
        }
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        return Either.right(Configuration.of(current.revision() + 1, note.id(), items.values()));
    }

    private static EntityKey keyOf(Entity item) {
        return new EntityKey(item.kind(), item.key());
    }
}
