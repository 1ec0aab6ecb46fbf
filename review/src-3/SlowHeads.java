import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients come at once, and their heads, within the operator's limits, take most of the time allowed. */
public final class SlowHeads extends Case {
    private static final int ROUTE_TIMEOUT_MILLIS = 4000;
    private static final int LATE_MILLIS = 500;
    /** 68 a second, for 3 s. */
    private static final int CLIENTS = 204;

    private static final int BURST_MILLIS = 3000;
    /** Below max_header_bytes, which is 16,384. */
    private static final int HEAD_BYTES = 16_300;
    /** Below header_timeout, which is 3 s. */
    private static final int HEAD_MILLIS = 2800;

    private final AtomicInteger answered = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new SlowHeads().run(Path.of(args[0]));
    }

    @Override
    int play() throws IOException, InterruptedException {
        for (int i = 0; i < 6; i++) {
            startServer("i-" + i, "svc0", i % 2 == 0 ? "gulf-a" : "piedmont-a", 9, Upstream.after(100, 400));
        }
        store.put("op/config", Config.of(7, 1, 0));
        startHost(11, "gulf-a", "gulf");
        startHost(12, "piedmont-a", "piedmont");
        if (!awaitHosts()) {
            return NOT_RUN;
        }
        Load load = new Load(journal);
        load.start("GET", "/view0/a", "", 20, hosts, ROUTE_TIMEOUT_MILLIS + 2000);
        Threads.sleep(3000);
        if (trouble) {
            journal.say(CLIENTS + " clients come within three seconds to " + hosts.get(0).name + ", with heads of " + HEAD_BYTES
                    + " bytes that take " + HEAD_MILLIS + " ms");
            long begun = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                String id = String.format("%016x", 0x10000 + i);
                Threads.start("crowd", () -> comeSlowly(hosts.get(0), id));
                long next = begun + (i + 1) * BURST_MILLIS * 1_000_000L / CLIENTS;
                Threads.sleep((next - System.nanoTime()) / 1_000_000);
            }
        }
        Threads.sleep(10_000);
        journal.say("all of them have left; requests from here on are counted as after the trouble");
        long calmNanos = System.nanoTime();
        Threads.sleep(8000);
        load.stop();
        Threads.sleep(ROUTE_TIMEOUT_MILLIS + 2500);
        var all = load.all();
        long atTimeout = all.stream().filter(a -> a.millis() >= ROUTE_TIMEOUT_MILLIS).count();
        long late = all.stream()
                .filter(a -> a.millis() >= ROUTE_TIMEOUT_MILLIS + LATE_MILLIS)
                .count();
        journal.say("answered among those with slow heads: " + answered.get());
        journal.say("other requests: " + Load.results(all));
        for (Edge host : hosts) {
            journal.say("requests after the trouble at " + host.name + ": "
                    + Load.results(all.stream()
                            .filter(a -> a.sentNanos - calmNanos >= 0 && a.host == host)
                            .toList())
                    + " runs=" + host.runs() + " ready=" + host.isReady(1000) + " heap exhausted, lines in its log: "
                    + host.logLines("Java heap space"));
        }
        journal.say("others, unanswered at the route's timeout: " + atTimeout + "; half a second later: " + late);
        return late >= 8 && 2 * late > atTimeout ? BROKEN : HELD;
    }

    private void comeSlowly(Edge host, String id) {
        StringBuilder head = new StringBuilder("GET /view0/a HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 4000\r\n");
        while (head.length() < HEAD_BYTES - 10) {
            head.append("a:b\r\n");
        }
        byte[] bytes = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        int most = bytes.length - 100;
        journal.add("sent id=" + id + " head of " + bytes.length + " bytes, host=" + host.name);
        try (Socket socket = host.connect()) {
            socket.setSoTimeout(6000);
            socket.getOutputStream().write(bytes, 0, most);
            socket.getOutputStream().flush();
            Threads.sleep(HEAD_MILLIS);
            socket.getOutputStream().write(bytes, most, bytes.length - most);
            socket.getOutputStream().flush();
            Http.Message answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            answered.incrementAndGet();
            journal.add("answered id=" + id + " " + answer.firstLine());
        } catch (IOException e) {
            journal.add("not answered id=" + id + " " + e);
        }
    }
}
