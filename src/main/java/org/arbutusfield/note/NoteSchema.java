package org.arbutusfield.note;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Kind;

/**
 * Checks a note against {@code release-note.schema.json}: first the envelope without the items, then each item on its
 * own. The check stops when the limit on failures is reached, so a malicious note cannot make it produce an unbounded
 * number of them.
 */
final class NoteSchema {
    /** Sections of a note that contain whole items. */
    static final List<String> ITEM_SECTIONS = List.of("added", "changed");

    /** Section of a note that contains only keys of items. */
    static final String KEY_SECTION = "withdrawn";

    private static final String RESOURCE = "/release-note.schema.json";
    private static final NoteSchema BUNDLED = load();

    private final JsonSchema envelope;
    private final JsonSchema key;
    private final Map<Kind, JsonSchema> items;

    private NoteSchema(JsonSchema envelope, JsonSchema key, Map<Kind, JsonSchema> items) {
        this.envelope = envelope;
        this.key = key;
        this.items = items;
    }

    /** The schema bundled with this release. */
    static NoteSchema bundled() {
        return BUNDLED;
    }

    /** Adds a {@code NOTE_SCHEMA} failure with its JSON pointer for each violation. */
    void check(JsonNode note, ValidationFailures failures) {
        report(envelope, withoutItems(note), "", failures);
        for (String section : ITEM_SECTIONS) {
            checkSection(note.path(section), "/" + section, failures);
        }
        checkKeys(note.path(KEY_SECTION), failures);
    }

    private void checkSection(JsonNode section, String path, ValidationFailures failures) {
        for (Kind kind : Kind.values()) {
            int index = 0;
            for (JsonNode item : elements(section.path(kind.field()))) {
                if (failures.isFull()) {
                    return;
                }
                report(items.get(kind), item, path + "/" + kind.field() + "/" + index, failures);
                index++;
            }
        }
    }

    private void checkKeys(JsonNode section, ValidationFailures failures) {
        for (Kind kind : Kind.values()) {
            int index = 0;
            for (JsonNode item : elements(section.path(kind.field()))) {
                if (failures.isFull()) {
                    return;
                }
                report(key, item, "/" + KEY_SECTION + "/" + kind.field() + "/" + index, failures);
                index++;
            }
        }
    }

    private static Iterable<JsonNode> elements(JsonNode node) {
        return node.isArray() ? node : List.of();
    }

    private static void report(JsonSchema schema, JsonNode node, String path, ValidationFailures failures) {
        for (ValidationMessage message : schema.validate(node)) {
            String property = message.getProperty() == null ? "" : "/" + message.getProperty();
            failures.add(Failure.of(
                    ErrorCode.NOTE_SCHEMA,
                    path + message.getInstanceLocation() + property,
                    withoutPath(message.getMessage())));
        }
    }

    private static String withoutPath(String message) {
        int colon = message.indexOf(": ");
        return colon < 0 ? message : message.substring(colon + 2);
    }

    private static JsonNode withoutItems(JsonNode note) {
        if (!note.isObject()) {
            return note;
        }
        ObjectNode copy = ((ObjectNode) note).objectNode();
        note.properties().forEach(field -> copy.set(field.getKey(), withEmptyArrays(field.getValue())));
        return copy;
    }

    private static JsonNode withEmptyArrays(JsonNode section) {
        if (!section.isObject()) {
            return section;
        }
        ObjectNode copy = ((ObjectNode) section).objectNode();
        section.properties()
                .forEach(field ->
                        copy.set(field.getKey(), field.getValue().isArray() ? copy.arrayNode() : field.getValue()));
        return copy;
    }

    private static NoteSchema load() {
        try (InputStream in = NoteSchema.class.getResourceAsStream(RESOURCE)) {
            ObjectNode root = (ObjectNode) new ObjectMapper().readTree(in);
            Map<Kind, JsonSchema> items = new EnumMap<>(Kind.class);
            for (Kind kind : Kind.values()) {
                items.put(kind, definition(root, kind.field()));
            }
            return new NoteSchema(compile(root), definition(root, "key"), items);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the bundled schema", e);
        }
    }

    private static JsonSchema definition(ObjectNode root, String name) {
        ObjectNode wrapper = root.objectNode().put("$ref", "#/$defs/" + name);
        wrapper.set("$schema", root.get("$schema"));
        wrapper.set("$defs", root.get("$defs"));
        return compile(wrapper);
    }

    private static JsonSchema compile(ObjectNode schema) {
        SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                .pathType(PathType.JSON_POINTER)
                .locale(Locale.ENGLISH)
                .build();
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema, config);
    }
}
