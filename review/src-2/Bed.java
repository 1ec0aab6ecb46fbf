import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.timer.SystemTimer;

/**
 * The test bed of the cases of the second review: starts edge hosts with the run line of the deploy file and the
 * settings template that it names, a store (the project's own stand-in of the platform's store), and small servers and
 * clients on loopback addresses. Ends everything that it started.
 */
final class Bed implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final long startNanos = System.nanoTime();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path work;
    private final PrintWriter record;
    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final List<Process> processes = new ArrayList<>();
    private final List<Closeable> closeables = new ArrayList<>();
    final KeyValueStandIn store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** Figures of the site magtable-quotes. */
    final Map<String, String> bounds = new LinkedHashMap<>();

    Bed(Path recordFile) throws IOException {
        work = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        store = KeyValueStandIn.bind(group, new InetSocketAddress("127.0.3.1", 0), timer).get();
        bounds.put("ttl_max", "\"5s\"");
        bounds.put("grace", "\"6s\"");
        bounds.put("config_apply", "\"2000ms\"");
        bounds.put("drain", "\"2000ms\"");
        bounds.put("budget_ratio", "0.2");
        bounds.put("budget_window", "\"10s\"");
        bounds.put("budget_slack", "112");
        note("trouble=" + (trouble ? 1 : 0));
    }

    /** Milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        record.printf("%7d %s%n", now(), line);
        record.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- store

    void put(String key, String value) {
        store.content().put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Writes the entry of a server. */
    void putServer(String id, String service, InetSocketAddress address, int slots, String state, int sequence) {
        put(
                "servers/" + id,
                "{\"address\":\"" + text(address) + "\",\"details\":{\"service\":\"" + service
                        + "\",\"version\":\"v1\",\"zone\":\"gulf-a\",\"slots\":" + slots + "},\"status\":{\"state\":\""
                        + state + "\",\"sequence\":" + sequence + ",\"cold_remaining\":\"0ms\"},\"born\":1700000000000}");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static String route(String name, String type, String prefix, String service, String timeout) {
        return "{\"name\":\"" + name + "\",\"route_type\":\"" + type
                + "\",\"target_latency\":\"600ms\",\"priority\":1,\"session_affinity\":false,\"match\":{\"prefix\":\""
                + prefix + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout\":\"" + timeout
                + "\",\"attempts\":2,\"allowed_regions\":[]}}";
    }

    static String config(int version, String idleTimeout, List<String> routes, List<String> services) {
        List<String> entries = new ArrayList<>();
        for (String service : services) {
            entries.add("{\"name\":\"" + service + "\",\"health_path\":\"/health\",\"max_connections\":660,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":7.6}");
        }
        return "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"" + idleTimeout
                + "\"},\"listeners\":[{\"host\":\"h.example\",\"policy\":[" + String.join(",", routes)
                + "]}],\"upstreams\":[" + String.join(",", entries) + "]}";
    }

    // ---- edge hosts

    /** An edge host and its addresses. */
    final class Edge {
        final String name;
        final String ip;
        final InetSocketAddress storeAddress;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        final InetSocketAddress directory;
        private final int internalPort;
        Process process;
        Path log;
        private int starts;

        Edge(String name, String ip, InetSocketAddress storeAddress) throws IOException {
            this.name = name;
            this.ip = ip;
            this.storeAddress = storeAddress;
            List<Integer> ports = freePorts(ip, 4);
            front = new InetSocketAddress(ip, ports.get(0));
            ready = new InetSocketAddress(ip, ports.get(1));
            directory = new InetSocketAddress(ip, ports.get(2));
            internalPort = ports.get(3);
        }

        void start() throws IOException {
            Path settings = work.resolve(name + ".json");
            Files.writeString(settings, render(this));
            log = work.resolve(name + "-" + starts++ + ".log");
            ProcessBuilder builder = new ProcessBuilder(runLine()).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ARBUTUSFIELD_NODE_FILE", settings.toString());
            process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            processes.add(process);
            note("edge started name=" + name + " front=" + text(front));
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(ready, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head, StandardCharsets.US_ASCII).endsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            long end = now() + 20_000;
            while (!isReady()) {
                if (now() > end || !process.isAlive()) {
                    throw new IOException(name + " isn't ready");
                }
                sleep(50);
            }
            note("edge ready name=" + name);
        }

        void signal(String signal) throws IOException {
            note("signal " + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        String log() throws IOException {
            return Files.readString(log);
        }
    }

    private String runLine0() throws IOException {
        String toml = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run *= *\"(.*)\"").matcher(toml);
        if (!run.find()) {
            throw new IOException("no run line");
        }
        return run.group(1);
    }

    private List<String> runLine() throws IOException {
        return List.of(runLine0().split(" +"));
    }

    private static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Fills in the template of the deploy file as DEPLOY.md says, as far as the template uses it. */
    private String render(Edge edge) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", quoted(edge.name));
        values.put("region", quoted("gulf"));
        values.put("zone", quoted("gulf-a"));
        values.put("zones", "{\"gulf-a\":\"gulf\",\"gulf-b\":\"gulf\",\"piedmont-a\":\"piedmont\",\"piedmont-b\":\"piedmont\",\"delta-a\":\"delta\",\"delta-b\":\"delta\"}");
        values.put("ip", quoted(edge.ip));
        values.put("listen.front", quoted(text(edge.front)));
        values.put("listen.ready", quoted(text(edge.ready)));
        values.put("listen.directory", quoted(text(edge.directory)));
        values.put("internal_ports.0", Integer.toString(edge.internalPort));
        values.put("platform.address", quoted(text(edge.storeAddress)));
        values.put("limits.max_fds", "2870");
        values.put("limits.cpu_share", "0.42");
        values.put("limits.cores", "1");
        bounds.forEach((name, value) -> values.put("bounds." + name, value));
        String template = Files.readString(root.resolve("deploy/settings.json"));
        Matcher section = Pattern.compile("\\{\\{#([a-z_.0-9]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(template);
        template = section.replaceAll(m -> values.containsKey(m.group(1)) ? Matcher.quoteReplacement(m.group(2)) : "");
        Matcher field = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}").matcher(template);
        return field.replaceAll(m -> {
            String value = values.get(m.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + m.group(1));
            }
            boolean bare = m.group(2) == null && value.startsWith("\"");
            return Matcher.quoteReplacement(bare ? value.substring(1, value.length() - 1) : value);
        });
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    // ---- servers and clients

    /** Handles one connection of a server or relay; the socket is closed afterwards. */
    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    /** Listens on the address; each connection has a thread of its own. */
    InetSocketAddress listen(String ip, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 1024, InetAddress.getByName(ip));
        closeables.add(server);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        handler.handle(socket);
                    }
                });
            }
        });
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Something that runs on a thread of its own. */
    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A head: its first line and its fields, names in lower case. */
    record Head(String line, Map<String, String> fields) {
        long length() {
            return Long.parseLong(fields.getOrDefault("content-length", "-1"));
        }

        boolean chunked() {
            return fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        String field = readLine(in);
        while (field != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            fields.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
            field = readLine(in);
        }
        return new Head(line, fields);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** What a client got for one request. */
    static final class Answer {
        Head head;
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** True if the answer ended as its head says that it ends. */
        boolean complete;
        String end = "";
    }

    /** Reads an answer up to its end, as HTTP/1.1 says where that is. */
    static Answer readAnswer(InputStream in) {
        Answer answer = new Answer();
        try {
            answer.head = readHead(in);
            if (answer.head == null) {
                answer.end = "closed without an answer";
                return answer;
            }
            if (answer.head.chunked()) {
                readChunks(in, answer);
            } else if (answer.head.length() >= 0) {
                byte[] bytes = new byte[8192];
                long left = answer.head.length();
                int read = 0;
                while (left > 0 && (read = in.read(bytes, 0, (int) Math.min(left, bytes.length))) >= 0) {
                    answer.body.write(bytes, 0, read);
                    left -= read;
                }
                answer.complete = left == 0;
                answer.end = answer.complete ? "whole by its length" : "closed early";
            } else {
                in.transferTo(answer.body);
                answer.complete = true;
                answer.end = "ended with the connection";
            }
        } catch (IOException e) {
            answer.end = "broke off: " + e.getMessage();
        }
        return answer;
    }

    private static void readChunks(InputStream in, Answer answer) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                answer.end = "closed early";
                return;
            }
            int length = Integer.parseInt(size.strip(), 16);
            if (length == 0) {
                readLine(in);
                answer.complete = true;
                answer.end = "whole by its last chunk";
                return;
            }
            byte[] chunk = in.readNBytes(length);
            answer.body.write(chunk);
            if (chunk.length < length) {
                answer.end = "closed early";
                return;
            }
            readLine(in);
        }
    }

    /** Resets a connection, as the system does for a process that ends with unread bytes. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress("127.0.4.1", 0));
        socket.setTcpNoDelay(true);
        socket.connect(address, 1000);
        return socket;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        for (Closeable closeable : closeables) {
            closeable.close();
        }
        store.close();
        group.shutdownGracefully();
        record.close();
        String keep = System.getenv("KEEP_LOGS");
        try (var files = Files.list(work)) {
            for (Path file : files.toList()) {
                if (keep != null) {
                    Files.copy(file, Path.of(keep).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
        Files.delete(work);
    }
}
