package org.arbutusfield.lab.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusfield.lab.platform.KeyValueContent;

/**
 * Publishes versions of the routes. Version n has the paths {@code /vN/} and {@code /vN-1/} (and one for requests that
 * end upstreams), so that responses show which versions a host may have. Thread-safe.
 */
final class SoakRoutes {
    /** Begins the paths of requests that end each upstream that runs them; the same in all versions. */
    static final String CRASHING_PREFIX = "/crash/";

    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);
    private static final String ROUTE_TEMPLATE =
            "{\"name\":\"%1$s-v%2$d\",\"route_type\":\"%3$s\",\"target_latency\":\"600ms\","
                    + "\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\"/v%2$d/%1$s/\"},\"action\":"
                    + "{\"service\":\"desk\",\"timeout\":\"2s\",\"attempts\":2}}";
    private static final String CRASHING_ROUTE = "{\"name\":\"crash\",\"route_type\":\"idempotent\","
            + "\"target_latency\":\"600ms\",\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\""
            + CRASHING_PREFIX + "\"},\"action\":{\"service\":\"desk\",\"timeout\":\"2s\",\"attempts\":2}}";
    private static final String DOCUMENT_TEMPLATE = "{\"version\":\"r%d\",\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{\"host\":"
            + "\"soak.example\",\"policy\":[%s]}],\"upstreams\":[{\"name\":\"desk\",\"health_path\":\"/\","
            + "\"max_connections\":500}]}";

    private final KeyValueContent store;
    private final Map<Integer, Long> publishedNanos = new ConcurrentHashMap<>();
    private volatile int version;
    private String document = "";

    private SoakRoutes(KeyValueContent store) {
        this.store = store;
    }

    static SoakRoutes of(KeyValueContent store) {
        return new SoakRoutes(store);
    }

    /** Writes the next version to the store. */
    synchronized void publishNext() {
        int next = version + 1;
        StringBuilder rules = new StringBuilder(CRASHING_ROUTE);
        for (int path = Math.max(1, next - 1); path <= next; path++) {
            rules.append(',')
                    .append(ROUTE_TEMPLATE.formatted("look", path, "idempotent"))
                    .append(',')
                    .append(ROUTE_TEMPLATE.formatted("book", path, "non_idempotent"));
        }
        document = DOCUMENT_TEMPLATE.formatted(next, rules);
        writeAgain();
        publishedNanos.put(next, System.nanoTime());
        version = next;
    }

    /** Writes the current version again, after the store has lost it. */
    synchronized void writeAgain() {
        store.put("op/config", document.getBytes(StandardCharsets.UTF_8), 0);
    }

    int version() {
        return version;
    }

    /** True if the version must have been in force for a request that was sent at the given time. */
    boolean mustBeInForce(int checkedVersion, long sentNanos) {
        Long published = publishedNanos.get(checkedVersion);
        return published != null && sentNanos - published > PROPAGATION_LIMIT.toNanos();
    }
}
