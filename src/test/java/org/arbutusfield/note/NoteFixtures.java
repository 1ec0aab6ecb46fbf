package org.arbutusfield.note;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;

/** Release notes and helper methods for tests. */
final class NoteFixtures {
    private NoteFixtures() {}

    static byte[] example(String name) {
        try {
            return Files.readAllBytes(Path.of("examples", name + "-note.json"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static ReleaseNote read(String text) {
        return NoteReader.read(text.getBytes(StandardCharsets.UTF_8)).get();
    }

    /** The configuration that results from the example note {@code magnolia}. */
    static Configuration magnoliaState() {
        return NoteApplier.apply(
                        Configuration.empty(),
                        NoteReader.read(example("magnolia")).get())
                .get();
    }

    /** A note against revision 1 with the given sections, as JSON with single quotes. */
    static ReleaseNote noteAgainstRevision1(String sections) {
        return read(("{'id':'second','against':1," + sections + "}").replace('\'', '"'));
    }

    static List<String> failures(Either<List<Failure>, ?> result) {
        return result.isRight()
                ? List.of()
                : result.getLeft().stream()
                        .map(f -> f.code() + " " + f.subject())
                        .toList();
    }

    static void times(int count, Consumer<Integer> action) {
        for (int i = 0; i < count; i++) {
            action.accept(i);
        }
    }
}
