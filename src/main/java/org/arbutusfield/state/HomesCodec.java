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
 * Encodes the homes of a service's objects for the store, where they survive a failure of all hosts. The key is
 * {@code homes/SERVICE}; the value is a JSON object that maps names of upstreams to lists of object keys.
 */
public final class HomesCodec {
    /** Prefix of the keys. */
    public static final String PREFIX = "homes/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private HomesCodec() {}

    /** Returns the store key of a service's homes. */
    public static String key(String service) {
        return PREFIX + service;
    }

    /** Encodes homes, given as names of upstreams by object key. */
    public static byte[] encode(Map<Long, String> homes) {
        ObjectNode root = JSON.createObjectNode();
        homes.forEach((object, upstream) -> root.withArray("/" + upstream).add(object));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes an item; fails with {@code ITEM_UNREADABLE}. */
    public static Either<Failure, StateItem> decode(String key, byte[] value) {
        try {
            Map<Long, String> homes = new HashMap<>();
            for (Map.Entry<String, JsonNode> upstream : JSON.readTree(value).properties()) {
                upstream.getValue().forEach(object -> homes.put(object.asLong(), upstream.getKey()));
            }
            return Either.right(new StateItem.Homes(key.substring(PREFIX.length()), Map.copyOf(homes)));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, "value is not valid JSON"));
        }
    }
}
