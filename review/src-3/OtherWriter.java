import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves entries that can't be read among the servers'; then the operator and a server change things. */
public final class OtherWriter extends Case {
    private static final long CONFIG_APPLY_MILLIS = 2500;
    private static final long DRAIN_MILLIS = 2500;
    private static final int ENTRIES = 30;
    /** Below value_bytes, which is 1,048,576. */
    private static final int ENTRY_BYTES = 1_048_000;

    private volatile long configAckNanos;
    private volatile long drainAckNanos;
    private final AtomicInteger runByOldService = new AtomicInteger();
    private final AtomicInteger afterDrain = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new OtherWriter().run(Path.of(args[0]));
    }

    @Override
    int play() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            String zone = i % 2 == 0 ? "gulf-a" : "piedmont-a";
            startServer("i-old-" + i, "svc0", zone, 9, this::oldService);
            startServer("i-new-" + i, "svc1", zone, 9, Upstream.after(300, 400));
        }
        Upstream leaving = startServer("i-leaving", "svc1", "gulf-a", 9, this::leavingServer);
        store.put("op/config", Config.of(7, 2, 0));
        startHost(11, "gulf-a", "gulf");
        startHost(12, "piedmont-a", "piedmont");
        if (!awaitHosts()) {
            return NOT_RUN;
        }
        Load load = new Load(journal);
        load.start("POST", "/hold0/a", "hold", 10, hosts, 6000);
        load.start("POST", "/hold1/a", "hold", 40, hosts, 6000);
        Threads.sleep(4000);
        if (trouble) {
            for (int i = 0; i < ENTRIES; i++) {
                store.put("servers/other-" + i, "?".repeat(ENTRY_BYTES));
            }
            journal.say("another writer has left " + ENTRIES + " entries of " + ENTRY_BYTES + " bytes");
        }
        Threads.sleep(500);
        configAckNanos = store.put(
                "op/config",
                Config.of(8, 2, 0)
                        .replace(
                                "\"prefix\":\"/hold0/\"},\"action\":{\"service\":\"svc0\"",
                                "\"prefix\":\"/hold0/\"},\"action\":{\"service\":\"svc1\""));
        journal.say("r8 is acknowledged; it moves /hold0/ to another service");
        drainAckNanos = store.put("servers/" + leaving.id, leaving.entry("draining"));
        journal.say(leaving.id + " is draining, and the store has acknowledged that");
        Threads.sleep(DRAIN_MILLIS + 2000);
        leaving.end();
        store.remove("servers/" + leaving.id);
        journal.say(leaving.id + " has ended, " + (DRAIN_MILLIS + 2000) + " ms later");
        Threads.sleep(18_000);
        load.stop();
        Threads.sleep(6500);
        long lost = load.all().stream().filter(a -> !a.result.equals("200")).count();
        journal.say("answers: " + Load.results(load.all()) + "; holds without success: " + lost);
        for (Edge host : hosts) {
            journal.say(host.name + " runs=" + host.runs() + " ready=" + host.isReady(1000));
        }
        journal.say("requests sent later than config_apply after the acknowledgement and run by the old service: "
                + runByOldService.get());
        journal.say("requests that reached the leaving server later than drain: " + afterDrain.get());
        return runByOldService.get() > 0 ? BROKEN : HELD;
    }

    /** Counts an arrival as late only if it came half a second after the bound: it was sent shortly before. */
    private boolean oldService(Upstream server, Http.Message request, Socket socket) throws IOException {
        long sinceAck = (System.nanoTime() - configAckNanos) / 1_000_000;
        if (request.word(1).startsWith("/hold0/") && configAckNanos != 0 && sinceAck > CONFIG_APPLY_MILLIS + 500) {
            runByOldService.incrementAndGet();
        }
        return Upstream.after(100, 400).answer(server, request, socket);
    }

    private boolean leavingServer(Upstream server, Http.Message request, Socket socket) throws IOException {
        if (drainAckNanos != 0 && (System.nanoTime() - drainAckNanos) / 1_000_000 > DRAIN_MILLIS) {
            afterDrain.incrementAndGet();
        }
        return Upstream.after(300, 400).answer(server, request, socket);
    }
}
