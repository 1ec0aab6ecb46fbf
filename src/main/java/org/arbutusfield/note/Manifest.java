package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Kind;

/**
 * Lists the segments that make up one configuration.
 *
 * @param revision the revision
 * @param noteId id of the note that produced the revision
 * @param segments digests of the segments of each kind, in order of key
 */
record Manifest(long revision, String noteId, Map<Kind, List<String>> segments) {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

    /** Copies the map, to keep the record immutable. */
    Manifest {
        Map<Kind, List<String>> copy = new EnumMap<>(Kind.class);
        segments.forEach((kind, digests) -> copy.put(kind, List.copyOf(digests)));
        segments = java.util.Collections.unmodifiableMap(copy);
    }

    /** Encodes the manifest. Equal manifests have equal encodings. */
    Segment encode() {
        try {
            return Segment.of(JSON.writeValueAsBytes(this));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the manifest", e);
        }
    }

    /** Decodes a manifest; fails with {@code STORE_CORRUPT}. */
    static Either<Failure, Manifest> decode(byte[] bytes) {
        try {
            return Either.right(JSON.readValue(bytes, Manifest.class));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "manifest", e.toString()));
        }
    }

    /** Digests of the segments of one kind. */
    List<String> of(Kind kind) {
        return segments.getOrDefault(kind, List.of());
    }

    /** Digests of all segments. */
    List<String> digests() {
        return segments.values().stream().flatMap(List::stream).distinct().toList();
    }
}
