import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item, long nanos) {}

    private static final class Lease {
        private final long millis;
        private long endNanos;

        private Lease(long millis) {
            this.millis = millis;
            renew();
        }

        private void renew() {
            endNanos = System.nanoTime() + millis * 1_000_000;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ServerSocket listener;
    /** Longest time for which a watch waits before its connection is cut; 0 for never. */
    volatile long watchCutMillis;
    private volatile boolean silent;
    volatile int watchesCut;
    /** Revision of the last change that the history no longer has. */
    private long droppedRevision;

    private long revision = 1;
    private long nextLease = 1;

    Store() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        Threads.start("store", this::accept);
        Threads.start("store-leases", this::expire);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Writes as the operator or a server would; returns the time of the acknowledgement. */
    synchronized long put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        return System.nanoTime();
    }

    /** Removes as a server would; returns the time of the acknowledgement. */
    synchronized long remove(String key) {
        delete(key);
        return System.nanoTime();
    }

    /** While the store is silent no call is answered, and leases pause. */
    synchronized void setSilent(boolean wanted) {
        silent = wanted;
        leases.values().forEach(Lease::renew);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item, System.nanoTime()));
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, revision, null, System.nanoTime()));
            notifyAll();
        }
    }

    private void expire() {
        while (true) {
            Threads.sleep(20);
            if (silent) {
                continue;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream()
                        .filter(entry -> entry.getValue().endNanos - now <= 0)
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(this::end);
                while (!history.isEmpty() && now - history.get(0).nanos > HISTORY_NANOS) {
                    droppedRevision = history.remove(0).revision;
                }
            }
        }
    }

    private boolean end(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        items.values().stream()
                .filter(item -> item.lease == lease)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
        return true;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("store-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.readRequest(in); call != null; call = Http.readRequest(in)) {
                Answer answer = silent ? null : answer(call);
                if (silent) {
                    // The connection returns nothing further.
                    Threads.sleep(60_000);
                    return;
                }
                if (answer == null) {
                    return;
                }
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\nStore-Era: 1\r\n\r\n";
                byte[] bytes = new byte[head.length() + body.length];
                System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, bytes, 0, head.length());
                System.arraycopy(body, 0, bytes, head.length(), body.length);
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private record Answer(int status, String body) {}

    private Answer answer(Http.Message call) throws IOException, InterruptedException {
        String target = call.word(1);
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        if (path.equals("/kv-watch")) {
            return watch(query);
        }
        synchronized (this) {
            if (path.equals("/kv-range")) {
                return range(query);
            }
            if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                return item == null ? new Answer(404, "{}") : new Answer(200, json(item).put("at", revision).toString());
            }
            if (path.equals("/kv-txn")) {
                return transaction(JSON.readTree(call.body()));
            }
            if (path.equals("/kv-lease")) {
                String ttl = JSON.readTree(call.body()).path("ttl_time").asText();
                long millis = (long) (ttl.endsWith("ms")
                        ? Double.parseDouble(ttl.substring(0, ttl.length() - 2))
                        : 1000 * Double.parseDouble(ttl.substring(0, ttl.length() - 1)));
                leases.put(nextLease, new Lease(millis));
                return new Answer(200, "{\"lease\":" + nextLease++ + ",\"ttl_time\":\"" + millis + "ms\"}");
            }
            if (path.startsWith("/kv-keep/")) {
                Lease lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
                if (lease == null) {
                    return new Answer(404, "{}");
                }
                lease.renew();
                return new Answer(200, "{\"ttl_time\":\"" + lease.millis + "ms\"}");
            }
            if (path.startsWith("/kv-lease-end/")) {
                return new Answer(end(Long.parseLong(path.substring("/kv-lease-end/".length()))) ? 200 : 404, "{}");
            }
        }
        return new Answer(404, "{}");
    }

    private Answer range(Map<String, String> query) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("items");
        boolean more = false;
        int bytes = 0;
        for (Item item : items.values()) {
            boolean fits = item.key.startsWith(query.getOrDefault("prefix", ""))
                    && item.key.compareTo(query.getOrDefault("after", "")) > 0;
            boolean full = rows.size() == PAGE_ITEMS || (!rows.isEmpty() && bytes + item.value.length > PAGE_BYTES);
            if (fits && full) {
                more = true;
                break;
            }
            if (fits) {
                rows.add(json(item));
                bytes += item.value.length;
            }
        }
        return new Answer(200, body.put("has_more", more).put("at", revision).toString());
    }

    private Answer watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long begun = System.nanoTime();
        long end = begun + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        synchronized (this) {
            while (true) {
                if (after < droppedRevision) {
                    return new Answer(410, "{}");
                }
                ObjectNode body = JSON.createObjectNode();
                ArrayNode rows = body.putArray("events");
                for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
                    Event event = history.get(i);
                    if (event.key.startsWith(prefix)) {
                        rows.insert(
                                0,
                                event.item != null
                                        ? json(event.item)
                                        : JSON.createObjectNode()
                                                .put("key", event.key)
                                                .put("revision", event.revision)
                                                .put("deleted", true));
                    }
                }
                long now = System.nanoTime();
                if (!rows.isEmpty() || now - end >= 0) {
                    return new Answer(200, body.put("at", revision).toString());
                }
                long waited = (now - begun) / 1_000_000;
                if (watchCutMillis > 0 && waited >= watchCutMillis) {
                    watchesCut++;
                    return null;
                }
                long left = (end - now) / 1_000_000 + 1;
                wait(Math.max(1, watchCutMillis > 0 ? Math.min(left, watchCutMillis - waited) : left));
            }
        }
    }

    private Answer transaction(JsonNode body) {
        ArrayNode present = JSON.createArrayNode();
        boolean failed = false;
        for (JsonNode expected : body.path("expect")) {
            Item item = items.get(expected.path("key").asText());
            failed |= (item == null ? 0 : item.revision) != expected.path("revision").asLong();
            if (item != null) {
                present.add(json(item));
            }
        }
        if (failed) {
            return new Answer(412, JSON.createObjectNode().set("items", present).toString());
        }
        for (JsonNode put : body.path("puts")) {
            if (put.path("lease").asLong() != 0 && !leases.containsKey(put.path("lease").asLong())) {
                return new Answer(404, "{}");
            }
        }
        for (JsonNode put : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            write(put.path("key").asText(), value, put.path("lease").asLong());
        }
        body.path("remove").forEach(key -> delete(key.asText()));
        return new Answer(200, "{\"revision\":" + revision + "}");
    }

    private static ObjectNode json(Item item) {
        return JSON.createObjectNode()
                .put("key", item.key)
                .put("value", Base64.getEncoder().encodeToString(item.value))
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
