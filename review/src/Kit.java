import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the platform, its store, servers and clients, and the start of the project's hosts as deployed. */
final class Kit {
    static final long START = System.nanoTime();
    static final Path ROOT = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
    static final Path FOLDER = Path.of(System.getProperty("folder")).toAbsolutePath().normalize();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int STORE_PORT = 8142;
    static final int FRONT = 8144;
    static final int READY = 8140;
    static final int DIRECTORY = 8143;
    static final int CONTROL = 7660;
    static final int METRICS = 9102;

    private static PrintWriter record;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static Path temporary;

    private Kit() {}

    /** The body of a case: returns true if the rule held. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case, ends all processes that it started, and exits with 0, 1 or 2. */
    static void main(Case body) {
        int code = 2;
        try {
            record = new PrintWriter(Files.newBufferedWriter(FOLDER.resolve("record.txt")), true);
            temporary = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
            say("case starts, trouble=" + TROUBLE);
            code = body.run() ? 0 : 1;
        } catch (Throwable e) {
            say("case could not run: " + e);
            e.printStackTrace();
        }
        say(code == 0 ? "RULE HELD" : code == 1 ? "RULE BROKEN" : "NOT RUN");
        endProcesses();
        Runtime.getRuntime().halt(code);
    }

    private static void endProcesses() {
        PROCESSES.forEach(Process::destroyForcibly);
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        PROCESSES.clear();
        if (temporary != null && System.getenv("KEEP") == null) {
            try (var files = Files.walk(temporary)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException e) {
                // Nothing depends on it.
            }
        }
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void say(String line) {
        record.printf(Locale.ROOT, "%9.3f %s%n", millis() / 1000.0, line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread spawn(String name, Case body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (Exception e) {
                        say("thread " + name + " ended: " + e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String id() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** A loopback address on which the ports are free. */
    static String freeIp(int... ports) throws IOException {
        for (int i = 0; i < 200; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String ip = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
            boolean free = true;
            for (int port : ports) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(ip, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return ip;
            }
        }
        throw new IOException("no free loopback address");
    }

    // ---- hosts

    /** One process of the project, started with the run line of the deploy file. */
    static final class Host implements Closeable {
        final String name;
        final String ip;
        final String zone;
        final String region;
        final Path log;
        private final Path settings;
        Process process;

        Host(String name, String zone, String region, Store store, Map<String, String> regions, Map<String, String> set)
                throws IOException {
            this.name = name;
            this.zone = zone;
            this.region = region;
            ip = freeIp(FRONT, READY, DIRECTORY, CONTROL, METRICS);
            log = temporary.resolve(name + ".out");
            settings = temporary.resolve(name + ".json");
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("name", quote(name));
            fields.put("region", quote(region));
            fields.put("failureDomain", quote(zone));
            fields.put("callerAddress", quote(ip + ":" + FRONT));
            fields.put("readyAddress", quote(ip + ":" + READY));
            fields.put("lookupAddress", quote(ip + ":" + DIRECTORY));
            fields.put("controlAddress", quote(ip + ":" + CONTROL));
            fields.put("metricsAddress", quote(ip + ":" + METRICS));
            fields.put("storeAddress", quote(store.address()));
            List<String> pairs = new ArrayList<>();
            regions.forEach((z, r) -> pairs.add(quote(z) + ":" + quote(r)));
            fields.put("regions", "{" + String.join(",", pairs) + "}");
            fields.put("maxDescriptors", "2870");
            fields.put("processorShare", "0.42");
            fields.put("cores", "1");
            fields.put("lookupMaxAge", "\"5s\"");
            fields.put("stopLimit", "\"6s\"");
            fields.put("routesInForceWithin", "\"2000ms\"");
            fields.put("drainsInForceWithin", "\"2000ms\"");
            fields.put("retryRatio", "0.2");
            fields.put("retryWindow", "\"10s\"");
            fields.put("retrySlack", "133");
            fields.putAll(set);
            List<String> lines = new ArrayList<>();
            fields.forEach((key, value) -> lines.add(quote(key) + ":" + value));
            Files.writeString(settings, "{" + String.join(",", lines) + "}");
        }

        void start() throws IOException {
            String run = Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> words = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
            ProcessBuilder builder = new ProcessBuilder(words)
                    .directory(ROOT.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ARBUTUSFIELD_NODE_FILE", settings.toString());
            process = builder.start();
            PROCESSES.add(process);
            say("host " + name + " started at " + ip + ", pid " + process.pid());
        }

        void awaitReady() throws Exception {
            long end = millis() + 20_000;
            while (millis() < end) {
                try (Client client = new Client(ip, READY)) {
                    if (client.get("/ready", "ready", id(), 1000).status == 200) {
                        say("host " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(100);
            }
            throw new IOException("host " + name + " is not ready; log: " + Files.readString(log));
        }

        void signal(String signal) throws Exception {
            say("host " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    // ---- the platform's store

    /** The store of PROTOCOL.md, without limits of rate. */
    static final class Store {
        final String ip;
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Change> history = new ArrayList<>();
        private final Map<Long, Lease> leases = new HashMap<>();
        private long revision = 10;
        private long nextLease = 100;

        private record Item(String key, String value, long revision, long created, long lease) {}

        private record Change(String key, long revision, Item item) {}

        private static final class Lease {
            long ttl;
            long end;
        }

        Store() throws IOException {
            ip = freeIp(STORE_PORT);
            HttpServer server = HttpServer.create(new InetSocketAddress(ip, STORE_PORT), 200);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task, "store");
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
            spawn("leases", () -> {
                while (true) {
                    expire();
                    sleep(50);
                }
            });
        }

        String address() {
            return ip + ":" + STORE_PORT;
        }

        /** A write of the operator or of a server. */
        synchronized long put(String key, String json) {
            return put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
        }

        synchronized void remove(String key) {
            if (items.remove(key) != null) {
                revision++;
                history.add(new Change(key, revision, null));
                notifyAll();
            }
        }

        private long put(String key, String base64, long lease) {
            revision++;
            Item old = items.get(key);
            Item item = new Item(key, base64, revision, old == null ? revision : old.created, lease);
            items.put(key, item);
            history.add(new Change(key, revision, item));
            notifyAll();
            return revision;
        }

        private synchronized void expire() {
            for (Long id : List.copyOf(leases.keySet())) {
                if (leases.get(id).end <= millis()) {
                    endLease(id);
                }
            }
        }

        private void endLease(long id) {
            leases.remove(id);
            for (Item item : List.copyOf(items.values())) {
                if (item.lease == id) {
                    remove(item.key);
                }
            }
        }

        private void handle(HttpExchange call) throws IOException {
            try (call) {
                String path = call.getRequestURI().getPath();
                Map<String, String> query = query(call.getRequestURI().getRawQuery());
                String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Reply reply = answer(path, query, body);
                byte[] bytes = reply.body.getBytes(StandardCharsets.UTF_8);
                call.getResponseHeaders().set("Content-Type", "application/json");
                call.sendResponseHeaders(reply.status, bytes.length);
                call.getResponseBody().write(bytes);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private record Reply(int status, String body) {}

        private Reply answer(String path, Map<String, String> query, String body) throws InterruptedException {
            if (path.equals("/kv-range")) {
                return range(query.get("prefix"), query.getOrDefault("after", ""));
            } else if (path.equals("/kv-watch")) {
                return watch(query);
            } else if (path.equals("/kv-key")) {
                synchronized (this) {
                    Item item = items.get(query.get("key"));
                    return item == null ? new Reply(404, "{\"at\":" + revision + "}") : new Reply(200, json(item));
                }
            } else if (path.equals("/kv-txn")) {
                return change(body);
            } else if (path.equals("/kv-lease")) {
                return grant(body);
            } else if (path.startsWith("/kv-keep/")) {
                return keep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            } else if (path.startsWith("/kv-lease-end/")) {
                return end(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            }
            return new Reply(404, "{}");
        }

        private synchronized Reply range(String prefix, String after) {
            List<String> rows = new ArrayList<>();
            boolean more = false;
            for (Item item : items.tailMap(after, false).values()) {
                if (!item.key.startsWith(prefix)) {
                    continue;
                }
                if (rows.size() == 500) {
                    more = true;
                    break;
                }
                rows.add(json(item));
            }
            return new Reply(
                    200, "{\"items\":[" + String.join(",", rows) + "],\"has_more\":" + more + ",\"at\":" + revision + "}");
        }

        private synchronized Reply watch(Map<String, String> query) throws InterruptedException {
            long after = Long.parseLong(query.get("after"));
            String prefix = query.get("prefix");
            long end = millis() + Long.parseLong(query.get("wait_ms"));
            while (true) {
                List<String> rows = new ArrayList<>();
                for (Change change : history) {
                    if (change.revision > after && change.key.startsWith(prefix)) {
                        rows.add(
                                change.item == null
                                        ? "{\"key\":" + quote(change.key) + ",\"revision\":" + change.revision
                                                + ",\"deleted\":true}"
                                        : json(change.item));
                    }
                }
                long left = end - millis();
                if (!rows.isEmpty() || left <= 0) {
                    return new Reply(200, "{\"events\":[" + String.join(",", rows) + "],\"at\":" + revision + "}");
                }
                wait(left);
            }
        }

        private static final Pattern ROW = Pattern.compile("\\{[^{}]*\\}");

        private synchronized Reply change(String body) {
            String expect = section(body, "expect");
            String puts = section(body, "puts");
            String remove = section(body, "remove");
            Matcher rows = ROW.matcher(expect);
            while (rows.find()) {
                Item item = items.get(text(rows.group(), "key"));
                long known = item == null ? 0 : item.revision;
                if (known != number(rows.group(), "revision")) {
                    return new Reply(412, "{\"items\":[" + (item == null ? "" : json(item)) + "]}");
                }
            }
            rows = ROW.matcher(puts);
            while (rows.find()) {
                long lease = number(rows.group(), "lease");
                if (lease != 0 && !leases.containsKey(lease)) {
                    return new Reply(404, "{}");
                }
            }
            rows = ROW.matcher(puts);
            while (rows.find()) {
                put(text(rows.group(), "key"), text(rows.group(), "value"), number(rows.group(), "lease"));
            }
            Matcher keys = Pattern.compile("\"([^\"]+)\"").matcher(remove);
            while (keys.find()) {
                remove(keys.group(1));
            }
            return new Reply(200, "{\"revision\":" + revision + "}");
        }

        private synchronized Reply grant(String body) {
            Lease lease = new Lease();
            lease.ttl = (long) (Double.parseDouble(text(body, "ttl_time").replaceAll("m?s$", ""))
                    * (text(body, "ttl_time").endsWith("ms") ? 1 : 1000));
            lease.end = millis() + lease.ttl;
            long id = nextLease++;
            leases.put(id, lease);
            return new Reply(200, "{\"lease\":" + id + ",\"ttl_time\":\"" + lease.ttl + "ms\"}");
        }

        private synchronized Reply keep(long id) {
            Lease lease = leases.get(id);
            if (lease == null) {
                return new Reply(404, "{}");
            }
            lease.end = millis() + lease.ttl;
            return new Reply(200, "{\"ttl_time\":\"" + lease.ttl + "ms\"}");
        }

        private synchronized Reply end(long id) {
            boolean known = leases.containsKey(id);
            endLease(id);
            return new Reply(known ? 200 : 404, "{}");
        }

        private static String json(Item item) {
            return "{\"key\":" + quote(item.key) + ",\"value\":" + quote(item.value) + ",\"revision\":" + item.revision
                    + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
        }

        private static String section(String body, String name) {
            Matcher matcher =
                    Pattern.compile("\"" + name + "\"\\s*:\\s*\\[([^\\]]*)\\]").matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }

        private static String text(String body, String name) {
            Matcher matcher =
                    Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }

        private static long number(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(body);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }

        private static Map<String, String> query(String raw) {
            Map<String, String> fields = new HashMap<>();
            for (String pair : raw == null ? new String[0] : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    fields.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return fields;
        }
    }

    // ---- the operator

    /** One route of the operator's configuration. */
    static String route(String prefix, String type, String service, int timeoutMs, int attempts) {
        return "{\"name\":" + quote("r-" + prefix.replace("/", "")) + ",\"route_type\":" + quote(type)
                + ",\"target_latency\":\"400ms\",\"priority\":2,\"session_affinity\":false,\"match\":{\"prefix\":"
                + quote(prefix) + "},\"action\":{\"service\":" + quote(service) + ",\"timeout\":\"" + timeoutMs
                + "ms\",\"attempts\":" + attempts + ",\"allowed_regions\":[]}}";
    }

    /** Requests a second that a cold server of any service tolerates. */
    static double coldPerSecond = 2.6;

    static void configure(Store store, int version, List<String> services, String... routes) {
        List<String> upstreams = new ArrayList<>();
        for (String service : services) {
            upstreams.add("{\"name\":" + quote(service)
                    + ",\"health_path\":\"/health\",\"max_connections\":813,\"protocol\":\"h1\",\"tls\":false,"
                    + "\"cold_start\":\"3s\",\"cold_per_s\":" + coldPerSecond + "}");
        }
        store.put(
                "op/config",
                "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                        + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":"
                        + "\"site.example\",\"policy\":[" + String.join(",", routes) + "]}],\"upstreams\":["
                        + String.join(",", upstreams) + "]}");
        say("operator: configuration r" + version);
    }

    // ---- servers

    /** One request as a server received it. */
    static final class Request {
        String method;
        String target;
        Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String id() {
            return headers.getOrDefault("x-request-id", "-");
        }

        String path() {
            return target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        }
    }

    /** What a server does with a request. */
    interface Behaviour {
        /** Handles one request; returns false to close the connection. */
        boolean handle(Server server, Socket connection, Request request) throws Exception;
    }

    /** A server that registers in the store and serves one request at a time on a connection. */
    static final class Server {
        final String id = "i-" + id().substring(0, 8);
        final String service;
        final String zone;
        final String ip;
        final int port = 8080;
        final Store store;
        final long born = System.currentTimeMillis() - 60_000;
        private final Behaviour behaviour;
        private final ServerSocket listener;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private int sequence;
        volatile int receiveBuffer;
        volatile boolean headOnly;

        Server(String service, String zone, Store store, int receiveBuffer, Behaviour behaviour) throws IOException {
            this.service = service;
            this.zone = zone;
            this.store = store;
            this.behaviour = behaviour;
            ip = freeIp(port);
            listener = new ServerSocket();
            if (receiveBuffer > 0) {
                listener.setReceiveBufferSize(receiveBuffer);
            }
            listener.bind(new InetSocketAddress(ip, port), 500);
            spawn("server " + id, () -> {
                while (true) {
                    Socket connection = listener.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    spawn("connection of " + id, () -> serve(connection));
                }
            });
        }

        /** Registers the server. Its entry stays as it is while nothing but its sequence changes. */
        void register(String address) {
            report(address, 0);
        }

        /** Reports that the server is cold for a time, or warm if that is zero. */
        void report(String address, int coldMs) {
            sequence++;
            store.put(
                    "servers/" + id,
                    "{\"address\":" + quote(address) + ",\"born\":" + born + ",\"details\":{\"service\":" + quote(service)
                            + ",\"version\":\"v1\",\"zone\":" + quote(zone)
                            + ",\"slots\":20},\"status\":{\"state\":\"ready\",\"sequence\":" + sequence
                            + ",\"cold_remaining\":\"" + coldMs + "ms\"}}");
        }

        String address() {
            return ip + ":" + port;
        }

        /** Ends the server as a crash does: its connections are closed, and its port. */
        void crash() {
            try {
                listener.close();
                for (Socket connection : connections) {
                    connection.close();
                }
            } catch (IOException e) {
                say("server " + id + " could not close: " + e);
            }
        }

        private boolean serve(Socket connection) throws Exception {
            try (connection) {
                InputStream in = connection.getInputStream();
                while (true) {
                    Request request = readRequest(in, !headOnly);
                    if (request == null) {
                        return true;
                    }
                    String expected = request.headers.get("x-expect-instance");
                    if (expected != null && !expected.equals(id)) {
                        send(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                                + "\r\nX-Request-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    if (!behaviour.handle(this, connection, request)) {
                        return true;
                    }
                }
            } catch (IOException e) {
                return false;
            } finally {
                connections.remove(connection);
            }
        }
    }

    static void send(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.getOutputStream().flush();
    }

    /** The head of a sound server's answer. */
    static String head(Request request, int status, long length) {
        return "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + request.id() + "\r\nX-Server-Seal: seal-" + request.id()
                + (length >= 0 ? "\r\nContent-Length: " + length : "") + "\r\n\r\n";
    }

    static byte[] content(String seed, int length) {
        byte[] bytes = new byte[length];
        byte[] pattern = (seed + "/").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < length; i++) {
            bytes[i] = pattern[i % pattern.length];
        }
        return bytes;
    }

    static Request readRequest(InputStream in, boolean withBody) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Request request = new Request();
        String[] words = line.split(" ");
        request.method = words[0];
        request.target = words[1];
        request.headers = headers(in);
        String length = request.headers.get("content-length");
        if (withBody && length != null) {
            request.body = in.readNBytes(Integer.parseInt(length));
        } else if (withBody && request.headers.containsKey("transfer-encoding")) {
            request.body = chunked(in, null);
        }
        return request;
    }

    private static byte[] chunked(InputStream in, ByteArrayOutputStream into) throws IOException {
        ByteArrayOutputStream body = into == null ? new ByteArrayOutputStream() : into;
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("within chunks");
            }
            int bytes = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(bytes);
            body.write(chunk);
            if (chunk.length < bytes || line(in) == null) {
                throw new EOFException("within a chunk");
            }
            if (bytes == 0) {
                return body.toByteArray();
            }
        }
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        while (true) {
            String line = line(in);
            if (line == null) {
                throw new EOFException("within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.putIfAbsent(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    // ---- clients

    /** An answer as a client got it. */
    static final class Answer {
        int status;
        Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];
        /** True if the answer came to its end in the protocol. */
        boolean whole;
        /** True if the connection was closed or reset before the end; false if the client gave up first. */
        boolean cut;
        long tookMs;

        @Override
        public String toString() {
            return "status=" + status + " bytes=" + body.length + " whole=" + whole + " cut=" + cut + " took_ms=" + tookMs;
        }
    }

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();

        Client(String ip, int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1000);
        }

        Answer get(String path, String affinity, String id, int deadlineMs) throws IOException {
            send(request("GET", path, affinity, id, deadlineMs));
            return read(deadlineMs);
        }

        void send(String text) throws IOException {
            Kit.send(socket, text);
        }

        static String request(String method, String path, String affinity, String id, int deadlineMs, String... more) {
            return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id
                    + "\r\nX-Affinity-Key: " + affinity + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
                    + String.join("", more) + "\r\n";
        }

        /** Reads one answer until its end, the end of the connection, or the client's own time. */
        Answer read(int waitMs) throws IOException {
            Answer answer = new Answer();
            long start = millis();
            TimedInput in = new TimedInput(socket, start + waitMs);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                String first = line(in);
                if (first == null) {
                    throw new EOFException("before the answer");
                }
                answer.status = Integer.parseInt(first.split(" ")[1]);
                answer.headers = headers(in);
                String length = answer.headers.get("content-length");
                if (length != null) {
                    int left = Integer.parseInt(length);
                    byte[] buffer = new byte[16 << 10];
                    while (left > 0) {
                        int count = in.read(buffer, 0, Math.min(left, buffer.length));
                        if (count < 0) {
                            throw new EOFException("within the body");
                        }
                        body.write(buffer, 0, count);
                        left -= count;
                    }
                } else if (answer.headers.containsKey("transfer-encoding")) {
                    chunked(in, body);
                }
                answer.whole = true;
            } catch (SocketTimeoutException e) {
                answer.cut = false;
            } catch (IOException e) {
                answer.cut = true;
            }
            answer.body = body.toByteArray();
            answer.tookMs = millis() - start;
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Input that ends with a timeout at a time. */
    private static final class TimedInput extends InputStream {
        private final Socket socket;
        private final InputStream in;
        private final long end;
        private final byte[] buffer = new byte[64 << 10];
        private int position;
        private int limit;

        TimedInput(Socket socket, long end) throws IOException {
            this.socket = socket;
            this.in = socket.getInputStream();
            this.end = end;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            if (position == limit) {
                long left = end - millis();
                if (left <= 0) {
                    throw new SocketTimeoutException();
                }
                socket.setSoTimeout((int) left);
                // One byte at a time would lose nothing, but answers that follow must stay on the socket.
                int count = in.read(buffer, 0, Math.min(length, buffer.length));
                if (count < 0) {
                    return -1;
                }
                position = 0;
                limit = count;
            }
            int count = Math.min(length, limit - position);
            System.arraycopy(buffer, position, into, offset, count);
            position += count;
            return count;
        }
    }

    static int count(AtomicInteger counter) {
        return counter.get();
    }
}
