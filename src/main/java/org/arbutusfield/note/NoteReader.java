package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/**
 * Parses release notes from JSON.
 *
 * <p>A note is checked in this order: size, UTF-8, JSON (strict: no duplicate keys, no {@code NaN}, limits on depth,
 * numbers, names and tokens), schema. The first check that fails ends the parse. The schema check reports every failure
 * with its JSON pointer, up to {@value ValidationFailures#MAX_FAILURES}. The limits bound memory and time.
 */
public final class NoteReader {
    /** Maximum size of a note, in bytes. */
    public static final int MAX_NOTE_BYTES = 8 << 20;

    /** Maximum number of JSON tokens in a note. */
    public static final int MAX_TOKENS = 1_000_000;

    private static final int MAX_DEPTH = 16;
    private static final int MAX_NUMBER_CHARS = 32;
    private static final int MAX_NAME_CHARS = 256;
    private static final int MAX_STRING_CHARS = 4096;
    private static final JsonMapper JSON = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .maxNumberLength(MAX_NUMBER_CHARS)
                            .maxNameLength(MAX_NAME_CHARS)
                            .maxStringLength(MAX_STRING_CHARS)
                            .build())
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private NoteReader() {}

    /**
     * Parses a note.
     *
     * @param document the note as UTF-8 JSON
     * @return the note, or every failure found
     */
    public static Either<List<Failure>, ReleaseNote> read(byte[] document) {
        if (document.length > MAX_NOTE_BYTES) {
            return failed(ErrorCode.NOTE_TOO_LARGE, document.length + " bytes, at most " + MAX_NOTE_BYTES);
        }
        try {
            String text = decode(document);
            if (countTokens(text) > MAX_TOKENS) {
                return failed(ErrorCode.NOTE_TOO_LARGE, "more than " + MAX_TOKENS + " JSON tokens");
            }
            return text.isBlank() ? failed(ErrorCode.NOTE_MALFORMED, "empty") : toNote(JSON.readTree(text));
        } catch (CharacterCodingException e) {
            return failed(ErrorCode.NOTE_MALFORMED, "not UTF-8");
        } catch (IOException e) {
            return failed(ErrorCode.NOTE_MALFORMED, firstLine(e));
        }
    }

    private static String decode(byte[] document) throws CharacterCodingException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
                .decode(ByteBuffer.wrap(document))
                .toString();
    }

    private static int countTokens(String text) throws IOException {
        int count = 0;
        try (JsonParser parser = JSON.createParser(text)) {
            while (count <= MAX_TOKENS && parser.nextToken() != null) {
                count++;
            }
        }
        return count;
    }

    private static Either<List<Failure>, ReleaseNote> toNote(JsonNode root) {
        ValidationFailures failures = new ValidationFailures();
        NoteSchema.bundled().check(root, failures);
        if (!failures.isEmpty()) {
            return Either.left(failures.toList());
        }
        List<Entity> added = readItems(root, "added", failures);
        List<Entity> changed = readItems(root, "changed", failures);
        if (!failures.isEmpty()) {
            return Either.left(failures.toList());
        }
        return Either.right(new ReleaseNote(
                root.path("id").asText(),
                root.path("against").asLong(),
                added,
                changed,
                readWithdrawn(root),
                root.path("force").asBoolean()));
    }

    private static List<Entity> readItems(JsonNode root, String section, ValidationFailures failures) {
        List<Entity> items = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (JsonNode item : root.path(section).path(kind.field())) {
                try {
                    items.add(JSON.treeToValue(item, kind.type()));
                } catch (JsonProcessingException e) {
                    failures.add(Failure.of(ErrorCode.NOTE_SCHEMA, "/" + section + "/" + kind.field(), firstLine(e)));
                }
            }
        }
        return items;
    }

    private static List<EntityKey> readWithdrawn(JsonNode root) {
        List<EntityKey> keys = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            root.path(NoteSchema.KEY_SECTION)
                    .path(kind.field())
                    .forEach(key -> keys.add(new EntityKey(kind, key.asText())));
        }
        return keys;
    }

    private static Either<List<Failure>, ReleaseNote> failed(ErrorCode code, String detail) {
        return Either.left(List.of(Failure.of(code, "", detail)));
    }

    private static String firstLine(IOException e) {
        return e.getMessage().lines().findFirst().orElse("");
    }
}
