package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/** A running state as JSON bytes and back. Equal states give equal bytes. */
public final class ConfigurationCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ConfigurationCodec() {}

    /** Encodes a state. */
    public static byte[] encode(Configuration configuration) {
        ObjectNode root = JSON.createObjectNode()
                .put("revision", configuration.revision())
                .put("noteId", configuration.noteId());
        for (Kind kind : Kind.values()) {
            ArrayNode list = root.putArray(kind.field());
            configuration.table(kind).values().forEach(item -> list.add(JSON.valueToTree(item)));
        }
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes can always be written", e);
        }
    }

    /** Decodes a state, or {@code STORE_CORRUPT}. */
    public static Either<Failure, Configuration> decode(byte[] content) {
        try {
            JsonNode root = JSON.readTree(content);
            List<Entity> items = new ArrayList<>();
            for (Kind kind : Kind.values()) {
                for (JsonNode item : root.path(kind.field())) {
                    items.add(JSON.treeToValue(item, kind.type()));
                }
            }
            return Either.right(Configuration.of(
                    root.path("revision").asLong(), root.path("noteId").asText(), items));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "configuration", e.toString()));
        }
    }
}
