package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/** Reads release notes from JSON. Reports every fault that it finds, each with its path. */
public final class NoteReader {
    /** Largest note, in bytes. */
    public static final int MAX_NOTE_BYTES = 8 << 20;

    private static final int MAX_DEPTH = 16;
    private static final JsonMapper JSON = JsonMapper.builder(com.fasterxml.jackson.core.JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .build())
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .disable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
            .build();

    private final List<Failure> faults = new ArrayList<>();

    private NoteReader() {}

    /**
     * Reads a note.
     *
     * @param document UTF-8 JSON
     * @return the note, or every fault found
     */
    public static Either<List<Failure>, ReleaseNote> read(byte[] document) {
        if (document.length > MAX_NOTE_BYTES) {
            return Either.left(List.of(Failure.of(ErrorCode.NOTE_TOO_LARGE, "", document.length + " bytes")));
        }
        try {
            return new NoteReader().note(JSON.readTree(document));
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorCode.NOTE_MALFORMED, "", firstLine(e))));
        }
    }

    private Either<List<Failure>, ReleaseNote> note(JsonNode root) {
        String id = root.path("id").asText("");
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            fault("/id", "1 to 64 letters, digits, dots, dashes or underscores");
        }
        if (!root.path("against").canConvertToLong()) {
            fault("/against", "a revision number");
        }
        List<Entity> added = entities(root, "added");
        List<Entity> changed = entities(root, "changed");
        List<EntityKey> withdrawn = withdrawn(root);
        if (!faults.isEmpty()) {
            return Either.left(List.copyOf(faults));
        }
        return Either.right(new ReleaseNote(id, root.path("against").asLong(), added, changed, withdrawn));
    }

    private List<Entity> entities(JsonNode root, String section) {
        List<Entity> items = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : root.path(section).properties()) {
            String path = "/" + section + "/" + field.getKey();
            Kind kind = Kind.ofField(field.getKey()).orElse(null);
            if (kind == null) {
                fault(path, "unknown kind of item");
                continue;
            }
            int index = 0;
            for (JsonNode item : field.getValue()) {
                entity(kind, item, path + "/" + index, items);
                index++;
            }
        }
        return items;
    }

    private void entity(Kind kind, JsonNode item, String path, List<Entity> items) {
        try {
            items.add(JSON.treeToValue(item, kind.type()));
        } catch (JsonProcessingException e) {
            fault(path, firstLine(e));
        }
    }

    private List<EntityKey> withdrawn(JsonNode root) {
        List<EntityKey> keys = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : root.path("withdrawn").properties()) {
            Kind kind = Kind.ofField(field.getKey()).orElse(null);
            if (kind == null) {
                fault("/withdrawn/" + field.getKey(), "unknown kind of item");
                continue;
            }
            field.getValue().forEach(key -> keys.add(new EntityKey(kind, key.asText())));
        }
        return keys;
    }

    private void fault(String path, String detail) {
        faults.add(Failure.of(ErrorCode.NOTE_SCHEMA, path, detail));
    }

    private static String firstLine(IOException e) {
        return e.getMessage().lines().findFirst().orElse("");
    }
}
