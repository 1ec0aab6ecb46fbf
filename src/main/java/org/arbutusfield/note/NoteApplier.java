package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.Ipv4Block;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.ClientBlockList;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/**
 * Computes the configuration that results from a note. The current configuration is not modified.
 *
 * <p>All failures are reported together: the next configuration is built even when items are duplicated or missing, so
 * that its references are checked too.
 */
public final class NoteApplier {
    private final Configuration current;
    private final ReleaseNote note;
    private final ValidationFailures failures = new ValidationFailures();
    private final Set<String> blocksBefore;

    private NoteApplier(Configuration current, ReleaseNote note) {
        this.current = current;
        this.note = note;
        this.blocksBefore = current.blocks().sitesOf(prefixesOf(note)).keySet();
    }

    /**
     * Applies a note to a configuration.
     *
     * @param current the current configuration
     * @param note a note written against {@code current.revision()}
     * @return the next configuration, or every failure found, each with its JSON pointer in the note
     */
    public static Either<List<Failure>, Configuration> apply(Configuration current, ReleaseNote note) {
        if (note.against() != current.revision()) {
            String detail = "written against " + note.against() + ", running is " + current.revision();
            return Either.left(List.of(Failure.of(ErrorCode.NOTE_CONFLICT, note.id(), detail)));
        }
        return new NoteApplier(current, note).apply();
    }

    private Either<List<Failure>, Configuration> apply() {
        NotePaths paths = NotePaths.of(note, failures);
        checkExistence(paths);
        for (Entity item : note.added()) {
            ItemValidator.check(item, paths.of(NotePaths.keyOf(item)), failures);
        }
        for (Entity item : note.changed()) {
            ItemValidator.check(item, paths.of(NotePaths.keyOf(item)), failures);
        }
        Configuration next = Configuration.of(current.revision() + 1, note.id(), nextItems(), nextBlocks());
        NoteValidator.check(current, next, note, paths, failures);
        return failures.isEmpty() ? Either.right(next) : Either.left(failures.toList());
    }

    private void checkExistence(NotePaths paths) {
        for (Entity item : note.added()) {
            EntityKey key = NotePaths.keyOf(item);
            if (exists(key)) {
                failures.add(Failure.of(ErrorCode.NOTE_ALREADY_EXISTS, paths.of(key), key.key()));
            }
        }
        for (Entity item : note.changed()) {
            checkPresent(NotePaths.keyOf(item), paths);
        }
        for (EntityKey key : note.withdrawn()) {
            checkPresent(key, paths);
        }
    }

    private void checkPresent(EntityKey key, NotePaths paths) {
        if (!exists(key)) {
            failures.add(Failure.of(ErrorCode.NOTE_NOT_FOUND, paths.of(key), key.key()));
        }
    }

    private boolean exists(EntityKey key) {
        if (key.kind() == Kind.CLIENT_BLOCK) {
            return blocksBefore.contains(key.key());
        }
        return current.table(key.kind()).containsKey(key.key());
    }

    private List<Entity> nextItems() {
        Map<EntityKey, Entity> items = new LinkedHashMap<>();
        for (Kind kind : Kind.values()) {
            if (kind != Kind.CLIENT_BLOCK) {
                current.table(kind).values().forEach(item -> items.put(NotePaths.keyOf(item), item));
            }
        }
        note.withdrawn().forEach(items::remove);
        for (List<Entity> section : List.of(note.changed(), note.added())) {
            for (Entity item : section) {
                if (item.kind() != Kind.CLIENT_BLOCK) {
                    items.put(NotePaths.keyOf(item), item);
                }
            }
        }
        return List.copyOf(items.values());
    }

    private ClientBlockList nextBlocks() {
        List<ClientBlock> updatedBlocks = new ArrayList<>();
        for (List<Entity> section : List.of(note.changed(), note.added())) {
            for (Entity item : section) {
                if (item instanceof ClientBlock block && isCanonical(block.prefix())) {
                    updatedBlocks.add(block);
                }
            }
        }
        List<String> removedPrefixes = note.withdrawn().stream()
                .filter(key -> key.kind() == Kind.CLIENT_BLOCK && isCanonical(key.key()))
                .map(EntityKey::key)
                .toList();
        return updatedBlocks.isEmpty() && removedPrefixes.isEmpty()
                ? current.blocks()
                : current.blocks().updated(updatedBlocks, removedPrefixes);
    }

    private static Set<String> prefixesOf(ReleaseNote note) {
        Set<String> prefixes = new TreeSet<>();
        for (List<Entity> section : List.of(note.added(), note.changed())) {
            for (Entity item : section) {
                if (item.kind() == Kind.CLIENT_BLOCK) {
                    prefixes.add(item.key());
                }
            }
        }
        for (EntityKey key : note.withdrawn()) {
            if (key.kind() == Kind.CLIENT_BLOCK) {
                prefixes.add(key.key());
            }
        }
        prefixes.removeIf(prefix -> !isCanonical(prefix));
        return prefixes;
    }

    private static boolean isCanonical(String prefix) {
        return Ipv4Block.parse(prefix).isRight();
    }
}
