package org.arbutusfield.note;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/** JSON pointers to the items of a note. */
final class NotePaths {
    private final Map<EntityKey, String> paths = new HashMap<>();

    private NotePaths() {}

    /**
     * Collects the pointers of a note. For an item that occurs twice, adds a {@code NOTE_DUPLICATE} at the later
     * occurrence.
     */
    static NotePaths of(ReleaseNote note, ValidationFailures failures) {
        NotePaths result = new NotePaths();
        result.addSection("added", keys(note.added()), failures);
        result.addSection("changed", keys(note.changed()), failures);
        result.addSection("withdrawn", note.withdrawn(), failures);
        return result;
    }

    /** The key of an item. */
    static EntityKey keyOf(Entity item) {
        return new EntityKey(item.kind(), item.key());
    }

    /** The pointer to an item, if the note contains it. */
    Optional<String> find(EntityKey key) {
        return Optional.ofNullable(paths.get(key));
    }

    /** The pointer to an item; empty when the note does not contain it. */
    String of(EntityKey key) {
        return find(key).orElse("");
    }

    private void addSection(String section, List<EntityKey> keys, ValidationFailures failures) {
        Map<Kind, Integer> counts = new EnumMap<>(Kind.class);
        for (EntityKey key : keys) {
            int index = counts.merge(key.kind(), 1, Integer::sum) - 1;
            String path = "/" + section + "/" + key.kind().field() + "/" + index;
            String earlier = paths.putIfAbsent(key, path);
            if (earlier != null) {
                failures.add(Failure.of(ErrorCode.NOTE_DUPLICATE, path, "also at " + earlier));
            }
        }
    }

    private static List<EntityKey> keys(List<Entity> items) {
        return items.stream().map(NotePaths::keyOf).toList();
    }
}
