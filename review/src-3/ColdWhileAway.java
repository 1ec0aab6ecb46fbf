import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is silent for some seconds. Meanwhile three servers of one zone become cold again, and say so in their health
 * responses.
 */
public final class ColdWhileAway extends Case {
    private static final double COLD_PER_SECOND = 7.6;
    private static final double COLD_OVER = 1.5;
    private static final double COLD_SLACK = 5;
    private static final int COLD_MILLIS = 3000;
    /** Well above what a cold server tolerates: nearly four times as much. */
    private static final int CRASH_AT = 30;
    /** Time for the hosts to ask a server whether it is cold; what arrives until then isn't counted. */
    private static final long ASK_NANOS = 500_000_000;

    private static final int AWAY_BEFORE_MILLIS = 1000;
    private static final int AWAY_AFTER_MILLIS = 400;

    private static final long SECOND_NANOS = 1_000_000_000;
    private final List<ColdServer> cold = new ArrayList<>();
    private final AtomicInteger asked = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new ColdWhileAway().run(Path.of(args[0]));
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
                store.setSilent(true);
                journal.say("the store is silent");
                Threads.sleep(AWAY_BEFORE_MILLIS);
                for (ColdServer server : all.subList(0, 3)) {
                    server.becomeCold();
                }
            }
            Threads.sleep(COLD_MILLIS);
            for (ColdServer server : all.subList(0, 3)) {
                int most = server.endCold();
                worst = Math.max(worst, most);
                journal.say("round " + round + ": " + server.upstream.id + " got at most " + most
                        + " requests in a second while it was cold; crashed=" + server.crashed);
            }
            Threads.sleep(AWAY_AFTER_MILLIS);
            store.setSilent(false);
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
        journal.say("health requests at all servers: " + asked);
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
            coldSinceNanos = System.nanoTime();
            journal.say(upstream.id + " is cold for " + COLD_MILLIS + " ms; its health responses say so");
        }

        private synchronized int endCold() {
            isCold = false;
            return most;
        }

        private boolean answer(Upstream server, Http.Message request, Socket socket) throws IOException {
            if (request.word(1).equals("/health")) {
                long left = isCold ? COLD_MILLIS - (System.nanoTime() - coldSinceNanos) / 1_000_000 : 0;
                String fields = "X-Instance-Id: " + server.id + "\r\nX-Cold-Ms: " + Math.max(0, left) + "\r\n";
                asked.incrementAndGet();
                Upstream.respond(socket, request, "200 OK", fields, "");
                return true;
            }
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
                    .filter(arrival -> arrival - coldSinceNanos > ASK_NANOS)
                    .count();
            most = Math.max(most, counted);
            boolean crashes = !crashed && arrivals.size() >= CRASH_AT;
            crashed |= crashes;
            return crashes;
        }
    }
}
