package org.arbutusfield.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Addresses;

/** Encodes the entry of an entry host for the store: {@code hosts/NAME}, a JSON object. */
public final class HostEntryCodec {
    /** Prefix of the keys. */
    public static final String PREFIX = "hosts/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private HostEntryCodec() {}

    /** Returns the store key of a host. */
    public static String key(String name) {
        return PREFIX + name;
    }

    /** Encodes the entry of a host. */
    public static byte[] encode(HostEntry entry) {
        return JSON.createObjectNode()
                .put("region", entry.region())
                .put("failureDomain", entry.failureDomain())
                .put("callers", entry.callerAddress())
                .put("control", entry.controlAddress())
                .put("capacity", entry.capacity())
                .put("reachesUpstreams", entry.reachesUpstreams())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes an item; fails with {@code ITEM_UNREADABLE}. */
    public static Either<Failure, StateItem> decode(String key, byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            HostEntry entry = new HostEntry(
                    key.substring(PREFIX.length()),
                    node.path("region").asText(),
                    node.path("failureDomain").asText(),
                    node.path("callers").asText(),
                    node.path("control").asText(),
                    node.path("capacity").asInt(),
                    node.path("reachesUpstreams").asBoolean(true));
            boolean valid = Addresses.parse(entry.callerAddress()).isPresent()
                    && Addresses.parse(entry.controlAddress()).isPresent();
            return valid
                    ? Either.right(new StateItem.HostRegistration(entry))
                    : Either.left(Failure.of(
                            ErrorCode.ITEM_UNREADABLE,
                            key,
                            "invalid addresses: callers and control must be IPv4:port"));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, "value is not valid JSON"));
        }
    }
}
