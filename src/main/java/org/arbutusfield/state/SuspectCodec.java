package org.arbutusfield.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Encodes suspect requests for the store, where hosts that start or were away find them. The key is
 * {@code suspects/FINGERPRINT}; the value is a JSON object whose {@code ended} lists upstreams with the time of their
 * start. Operators may remove the key; the request is then passed on again.
 */
public final class SuspectCodec {
    /** Prefix of the keys. */
    public static final String PREFIX = "suspects/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private SuspectCodec() {}

    /** Returns the store key of a request. */
    public static String key(String fingerprint) {
        return PREFIX + fingerprint;
    }

    /** Encodes a suspect request. */
    public static byte[] encode(SuspectRequest suspect) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode ended = root.putArray("ended");
        suspect.ended()
                .forEach(start ->
                        ended.addObject().put("upstream", start.upstream()).put("startMillis", start.startMillis()));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes an item; fails with {@code ITEM_UNREADABLE}. */
    public static Either<Failure, StateItem> decode(String key, byte[] value) {
        try {
            List<UpstreamStart> ended = new ArrayList<>();
            for (JsonNode start : JSON.readTree(value).path("ended")) {
                ended.add(new UpstreamStart(
                        start.path("upstream").asText(),
                        start.path("startMillis").asLong()));
            }
            SuspectRequest suspect = new SuspectRequest(key.substring(PREFIX.length()), ended);
            return Either.right(new StateItem.Suspect(suspect));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, "value is not valid JSON"));
        }
    }
}
