import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Three servers of one zone become cold again within a tenth of a second, and each says so in the store at once. */
public final class ColdAgain extends Case {
    private static final double COLD_PER_SECOND = 7.6;
    private static final double COLD_OVER = 1.5;
    private static final double COLD_SLACK = 5;
    private static final int COLD_MILLIS = 3000;
    /** Well above what a cold server tolerates: more than three times as much. */
    private static final int CRASH_AT = 28;
    /** Time for the hosts to read from the store that a server is cold; what arrives until then isn't counted. */
    private static final long READ_NANOS = 200_000_000;

    private static final long SECOND_NANOS = 1_000_000_000;
    private final List<ColdServer> cold = new ArrayList<>();
    private final AtomicInteger lostHolds = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new ColdAgain().run(Path.of(args[0]));
    }

    @Override
    int play() throws IOException, InterruptedException {
        List<ColdServer> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ColdServer server = new ColdServer();
            server.upstream = startServer("i-" + i, "svc0", i < 3 ? "gulf-a" : "piedmont-a", 9, server::answer);
            all.add(server);
        }
        store.put("op/config", Config.of(7, 1, 0));
        startHost(11, "gulf-a", "gulf");
        startHost(12, "gulf-a", "gulf");
        startHost(13, "piedmont-a", "piedmont");
        if (!awaitHosts()) {
            return NOT_RUN;
        }
        Load load = new Load(journal);
        load.start("GET", "/view0/a", "", 100, hosts, 6000);
        load.start("POST", "/hold0/a", "hold", 50, hosts, 6000);
        int worst = 0;
        for (int round = 0; round < 3; round++) {
            Threads.sleep(9000);
            if (trouble) {
                for (ColdServer server : all.subList(0, 3)) {
                    server.becomeCold();
                    Threads.sleep(40);
                }
            }
            Threads.sleep(COLD_MILLIS);
            for (ColdServer server : all.subList(0, 3)) {
                int most = server.endCold();
                worst = Math.max(worst, most);
                journal.say("round " + round + ": " + server.upstream.id + " got at most " + most
                        + " requests in a second while it was cold; crashed=" + server.crashed);
            }
            if (all.stream().anyMatch(server -> server.crashed)) {
                break;
            }
        }
        load.stop();
        Threads.sleep(6500);
        long lost = load.all().stream()
                .filter(a -> a.path.startsWith("/hold") && !a.result.equals("200"))
                .count();
        double bound = COLD_PER_SECOND * COLD_OVER + COLD_SLACK;
        journal.say("answers: " + Load.results(load.all()) + "; holds without success: " + lost);
        journal.say("most requests in a second at a cold server: " + worst + "; the bound is " + bound);
        return worst > bound ? BROKEN : HELD;
    }

    private final class ColdServer {
        private Upstream upstream;
        private final Deque<Long> arrivals = new ArrayDeque<>();
        private boolean isCold;
        private long coldSinceNanos;
        private boolean crashed;
        private int most;

        private synchronized void becomeCold() {
            isCold = true;
            arrivals.clear();
            most = 0;
            String entry = upstream.entry("ready").replace("\"0ms\"", "\"" + COLD_MILLIS + "ms\"");
            coldSinceNanos = store.put("servers/" + upstream.id, entry);
            journal.say(upstream.id + " is cold for " + COLD_MILLIS + " ms, and the store has acknowledged that");
        }

        private synchronized int endCold() {
            if (isCold && !crashed) {
                store.put("servers/" + upstream.id, upstream.entry("ready"));
            }
            isCold = false;
            return most;
        }

        private boolean answer(Upstream server, Http.Message request, Socket socket) throws IOException {
            if (arrives()) {
                journal.say(server.id + " crashes: " + CRASH_AT + " requests in a second while cold");
                server.end();
            }
            return Upstream.after(250, 400).answer(server, request, socket);
        }

        /** Counts an arrival; returns true if the server crashes. */
        private synchronized boolean arrives() {
            long now = System.nanoTime();
            if (!isCold) {
                return false;
            }
            arrivals.add(now);
            while (now - arrivals.peek() > SECOND_NANOS) {
                arrivals.poll();
            }
            int counted = (int) arrivals.stream()
                    .filter(arrival -> arrival - coldSinceNanos > READ_NANOS)
                    .count();
            most = Math.max(most, counted);
            boolean crashes = !crashed && arrivals.size() >= CRASH_AT;
            crashed |= crashes;
            return crashes;
        }
    }
}
