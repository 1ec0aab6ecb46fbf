package org.arbutusfield.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * How the homes of a service's objects stand in the store, so that they outlive all hosts: {@code homes/SERVICE}, a
 * JSON object from upstreams to lists of object keys.
 */
public final class HomesCodec {
    /** What the keys begin with. */
    public static final String PREFIX = "homes/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private HomesCodec() {}

    /** The store's key of a service's homes. */
    public static String key(String service) {
        return PREFIX + service;
    }

    /** The value for homes, which map object keys to names of upstreams. */
    public static byte[] encode(Map<Long, String> homes) {
        ObjectNode root = JSON.createObjectNode();
        homes.forEach((object, upstream) -> root.withArray("/" + upstream).add(object));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes an item, or {@code ITEM_UNREADABLE}. */
    public static Either<Failure, StateItem> decode(String key, byte[] value) {
        try {
            Map<Long, String> homes = new HashMap<>();
            for (Map.Entry<String, JsonNode> upstream : JSON.readTree(value).properties()) {
                upstream.getValue().forEach(object -> homes.put(object.asLong(), upstream.getKey()));
            }
            return Either.right(new StateItem.Homes(key.substring(PREFIX.length()), Map.copyOf(homes)));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, "not JSON"));
        }
    }
}
