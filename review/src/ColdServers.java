import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The servers of a zone become cold again one shortly after the other, without a restart, and report it to the store. */
public final class ColdServers {
    private static final double COLD_PER_S = 7.6;
    private static final double COLD_OVER = 1.5;
    private static final int COLD_SLACK = 5;
    private static final int COLD_MS = 3000;
    /** A cold server that gets more than this in a second ends. */
    private static final double CRASH_PER_S = 3 * COLD_PER_S;

    private static final Map<String, String> BOUNDS =
            Map.of("routesInForceWithin", "\"2500ms\"", "drainsInForceWithin", "\"2500ms\"");
    private static final int CLIENTS = 28;
    private static final int ROUNDS = 1;

    /** When each server became cold, by id. */
    private static final Map<String, Long> COLD_SINCE = new ConcurrentHashMap<>();

    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();
    private static final ConcurrentLinkedQueue<Arrival> ARRIVALS = new ConcurrentLinkedQueue<>();
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final Set<String> CRASHED = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    private record Arrival(String server, long sentMs, long arrivedMs) {}

    public static void main(String[] args) {
        Kit.main(ColdServers::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.coldPerSecond = COLD_PER_S;
        Kit.configure(
                store,
                3,
                List.of("alert-desk"),
                Kit.route("/index/", "idempotent", "alert-desk", 1500, 2),
                Kit.route("/ack/", "non_idempotent", "alert-desk", 2000, 2));
        List<Kit.Server> near = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Kit.Server server = new Kit.Server("alert-desk", i < 4 ? "coastal-b" : "coastal-a", store, 0, ColdServers::serve);
            server.register(server.address());
            if (i < 4) {
                near.add(server);
            }
        }
        Map<String, String> regions = Map.of("coastal-a", "coastal", "coastal-b", "coastal");
        List<Kit.Host> hosts = new ArrayList<>();
        for (String zone : List.of("coastal-a", "coastal-b")) {
            Kit.Host host = new Kit.Host("edge-" + zone + "-1", zone, "coastal", store, regions, BOUNDS);
            host.start();
            hosts.add(host);
        }
        for (Kit.Host host : hosts) {
            host.awaitReady();
        }
        Kit.sleep(7000);
        long end = Kit.millis() + ROUNDS * 9000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Kit.spawn("client", () -> ask(hosts.get(number % 2), number, end)));
        }
        int worst = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Kit.sleep(3000);
            if (Kit.TROUBLE) {
                for (Kit.Server server : near) {
                    server.report(server.address(), COLD_MS);
                    COLD_SINCE.put(server.id, Kit.millis());
                    Kit.say("server " + server.id + " is cold for 3 s; the store has acknowledged its report");
                    Kit.sleep(80);
                }
            }
            Kit.sleep(4000);
            worst = Math.max(worst, worst(round));
            COLD_SINCE.clear();
            if (Kit.TROUBLE) {
                near.stream()
                        .filter(server -> !CRASHED.contains(server.id))
                        .forEach(server -> server.report(server.address(), 0));
            }
            Kit.sleep(1500);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        double allowed = COLD_PER_S * COLD_OVER + COLD_SLACK;
        Kit.say("servers that crashed: " + CRASHED.size() + ", requests that may run once and were lost there: " + LOST);
        Kit.say("served: " + SERVED + ", other answers: " + OTHER + ", most requests to a cold server in one second: " + worst
                + ", allowed: " + allowed);
        return worst <= allowed;
    }

    /** The most requests that were sent and arrived at one cold server within one second of its cold time. */
    private static int worst(int round) {
        int worst = 0;
        for (Map.Entry<String, Long> cold : COLD_SINCE.entrySet()) {
            int most = 0;
            long last = 0;
            for (long from = cold.getValue(); from <= cold.getValue() + COLD_MS - 1000; from += 20) {
                int count = 0;
                for (Arrival arrival : ARRIVALS) {
                    boolean inside = arrival.sentMs >= from && arrival.arrivedMs < from + 1000;
                    count += inside && arrival.server.equals(cold.getKey()) ? 1 : 0;
                }
                most = Math.max(most, count);
            }
            for (Arrival arrival : ARRIVALS) {
                if (arrival.server.equals(cold.getKey()) && arrival.arrivedMs < cold.getValue() + 1300) {
                    last = Math.max(last, arrival.arrivedMs - cold.getValue());
                }
            }
            Kit.say("round " + round + ": server " + cold.getKey() + " got " + most + " requests in one second while cold; "
                    + "the last of the first 1.3 s came " + last + " ms after it was cold");
            worst = Math.max(worst, most);
        }
        return worst;
    }

    private static boolean serve(Kit.Server server, Socket connection, Kit.Request request) throws Exception {
        long now = Kit.millis();
        ARRIVALS.add(new Arrival(server.id, SENT.getOrDefault(request.id(), 0L), now));
        RUN.add(request.id());
        Long cold = COLD_SINCE.get(server.id);
        if (cold != null && now < cold + COLD_MS) {
            long lately = ARRIVALS.stream()
                    .filter(arrival -> arrival.server.equals(server.id) && arrival.arrivedMs > Math.max(cold, now - 1000))
                    .count();
            if (lately > CRASH_PER_S && CRASHED.add(server.id)) {
                Kit.say("server " + server.id + " got " + lately + " requests in a second while cold, and crashes");
                server.crash();
                Kit.spawn("platform", () -> {
                    Kit.sleep(4500);
                    server.store.remove("servers/" + server.id);
                    return true;
                });
            }
        }
        Kit.sleep(60);
        byte[] body = Kit.content(request.target, 2000);
        Kit.send(connection, Kit.head(request, 200, body.length));
        connection.getOutputStream().write(body);
        return true;
    }

    private static boolean ask(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(10 * number);
        Kit.Client client = new Kit.Client(host.ip, Kit.FRONT);
        int count = 0;
        while (Kit.millis() < end) {
            count++;
            String id = Kit.id();
            SENT.put(id, Kit.millis());
            boolean acknowledges = number % 3 == 0;
            client.send(
                    acknowledges
                            ? Kit.Client.request(
                                    "POST", "/ack/" + number + "/" + count, "1", id, 4000, "Content-Length: 0\r\n")
                            : Kit.Client.request("GET", "/index/" + number + "/" + count, "1", id, 3000));
            Kit.Answer answer = client.read(4000);
            if (acknowledges && RUN.contains(id) && !(answer.whole && answer.status == 200)) {
                LOST.incrementAndGet();
                Kit.say("acknowledgement " + id + ", which had begun to run: " + answer);
            }
            (answer.whole && answer.status == 200 ? SERVED : OTHER).incrementAndGet();
            if (!answer.whole || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
                client.close();
                client = new Kit.Client(host.ip, Kit.FRONT);
            }
            Kit.sleep(60);
        }
        return true;
    }
}
