package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/**
 * Encodes items of one kind as segments and decodes them. A segment is a JSON array of items in order of key. As in
 * {@link org.arbutusfield.model.ClientBlockList}, the boundaries depend only on the items: a segment ends after a key
 * whose hash is a multiple of {@value #MEAN_SEGMENT_ITEMS}, or when it reaches {@value #MAX_SEGMENT_BYTES} bytes.
 */
final class SegmentCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MEAN_SEGMENT_ITEMS = 64;
    private static final int MAX_SEGMENT_BYTES = 256 << 10;

    private SegmentCodec() {}

    /** Encodes the items of one kind. Equal tables have equal segments. */
    static List<Segment> encode(SortedMap<String, Entity> table) {
        List<Segment> segments = new ArrayList<>();
        ByteArrayOutputStream pending = new ByteArrayOutputStream();
        for (Map.Entry<String, Entity> entry : table.entrySet()) {
            pending.write(pending.size() == 0 ? '[' : ',');
            pending.writeBytes(toJson(entry.getValue()));
            if (endsSegment(entry.getKey()) || pending.size() >= MAX_SEGMENT_BYTES) {
                segments.add(finishSegment(pending));
            }
        }
        if (pending.size() > 0) {
            segments.add(finishSegment(pending));
        }
        return segments;
    }

    /** Decodes a segment of one kind; fails with {@code STORE_CORRUPT}. */
    static Either<Failure, List<Entity>> decode(Kind kind, byte[] bytes) {
        try {
            return Either.right(JSON.readerForListOf(kind.type()).<List<Entity>>readValue(bytes));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, kind.field(), e.toString()));
        }
    }

    private static boolean endsSegment(String key) {
        int hash = key.hashCode() * 0x9E3779B1;
        return (hash >>> 16) % MEAN_SEGMENT_ITEMS == 0;
    }

    private static Segment finishSegment(ByteArrayOutputStream pending) {
        pending.write(']');
        Segment segment = Segment.of(pending.toByteArray());
        pending.reset();
        return segment;
    }

    private static byte[] toJson(Entity item) {
        try {
            return JSON.writeValueAsString(item).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the item", e);
        }
    }
}
