import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry host: the program that the deploy file runs on an edge machine, as a process. */
final class Edge {
    final String name;
    final String ip;
    final int front;
    final int ready;
    final int directory;
    private final Path settings;
    private final Path log;
    private final Path repository;
    private Process process;

    /**
     * Creates a host, which isn't started.
     *
     * @param number distinguishes the hosts of a case; the host's address is 127.0.1.NUMBER
     */
    Edge(Path repository, Path directoryForFiles, int number, String zone, String region, Store store)
            throws IOException {
        this.repository = repository;
        name = "edge-" + zone + "-" + number;
        ip = "127.0.1." + number;
        front = freePort();
        ready = freePort();
        directory = freePort();
        settings = directoryForFiles.resolve(name + ".json");
        log = directoryForFiles.resolve(name + ".log");
        String text = Files.readString(repository.resolve("deploy/settings.json"))
                .replace("{{node_name|json}}", quoted(name))
                .replace("{{region|json}}", quoted(region))
                .replace("{{zone|json}}", quoted(zone))
                .replace("{{listen.front|json}}", quoted(ip + ":" + front))
                .replace("{{listen.ready|json}}", quoted(ip + ":" + ready))
                .replace("{{listen.directory|json}}", quoted(ip + ":" + directory))
                .replace("{{ip}}:{{internal_ports.0}}", ip + ":" + freePort())
                .replace("{{ip}}:9102", ip + ":" + freePort())
                .replace("{{platform.address|json}}", quoted("127.0.0.1:" + store.address().getPort()))
                .replace("{{zones|json}}", "{\"gulf-a\":\"gulf\",\"piedmont-a\":\"piedmont\"}")
                .replace("{{limits.max_fds|json}}", "2870")
                .replace("{{limits.cpu_share|json}}", "0.42")
                .replace("{{limits.cores|json}}", "1")
                .replace("{{bounds.ttl_max|json}}", quoted("5s"))
                .replace("{{bounds.grace|json}}", quoted("6s"))
                .replace("{{bounds.config_apply|json}}", quoted("2500ms"))
                .replace("{{bounds.drain|json}}", quoted("2500ms"))
                .replace("{{bounds.budget_ratio|json}}", "0.2")
                .replace("{{bounds.budget_window|json}}", quoted("10s"))
                .replace("{{bounds.budget_slack|json}}", "112")
                .replaceAll("(?m)^.*\\{\\{#bounds\\.quota.*$", "");
        Files.writeString(settings, text);
    }

    void start() throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.directory(repository.toFile());
        builder.environment().put("ARBUTUSFIELD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    /** Waits until the host says that it is ready. */
    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (isReady(1000)) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    /** One check as the platform makes it. */
    boolean isReady(int millis) {
        try {
            return new Client(ip, ready, millis).get("/ready", "").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean runs() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int exitValue() {
        return process.exitValue();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Lines of the host's log that contain a text. */
    long logLines(String text) throws IOException {
        try (var lines = Files.lines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    Path log() {
        return log;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, front), 1000);
        return socket;
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }
}
