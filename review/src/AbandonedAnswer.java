import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send a further request before the first is answered leave before their deadline. Other clients, on other
 * connections, fetch large answers meanwhile and wait for them.
 */
public final class AbandonedAnswer {
    private static final int TIMEOUT_MS = 2500;
    private static final int DEADLINE_MS = 12_000;
    private static final int RUN_MS = 46_000;
    /** Clients leave in these times only: 6 s of each 8 s. */
    private static final int PERIOD_MS = 8000;

    private static final int WINDOW_MS = 6000;
    private static final int LEAVE_AFTER_MS = 1400;
    private static final int LEAVING = 4;
    private static final int STAYING = 2;
    private static final int FETCHING = 8;
    private static final int PART = 16 << 10;
    private static final int PARTS = 10;

    private static final AtomicInteger BROKEN_AT_SERVER = new AtomicInteger();
    private static final AtomicInteger FETCHED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();
    private static final AtomicInteger LEFT = new AtomicInteger();
    private static final AtomicInteger STAYED = new AtomicInteger();

    public static void main(String[] args) {
        Kit.main(AbandonedAnswer::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.configure(
                store,
                3,
                List.of("archive"),
                Kit.route("/pull/", "idempotent", "archive", TIMEOUT_MS, 2),
                Kit.route("/history/", "idempotent", "archive", TIMEOUT_MS, 2));
        for (int i = 0; i < 2; i++) {
            Kit.Server server = new Kit.Server("archive", "windhoek-a", store, 0, AbandonedAnswer::serve);
            server.register(server.address());
        }
        Kit.Host host = new Kit.Host(
                "edge-windhoek-a-1", "windhoek-a", "windhoek", store, Map.of("windhoek-a", "windhoek"), Map.of());
        host.start();
        host.awaitReady();
        Kit.sleep(1500);
        long end = Kit.millis() + RUN_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LEAVING + STAYING; i++) {
            boolean leaves = Kit.TROUBLE && i < LEAVING;
            int number = i;
            threads.add(Kit.spawn("pipelining client", () -> pipeline(host, number, leaves, end)));
        }
        for (int i = 0; i < FETCHING; i++) {
            int number = i;
            threads.add(Kit.spawn("fetching client", () -> fetch(host, number, end)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.say("pipelining clients that left before their deadline: " + LEFT + ", that stayed: " + STAYED);
        Kit.say("answers that the servers could not finish, since their connection was closed: " + BROKEN_AT_SERVER);
        Kit.say("fetches: " + FETCHED + ", longer than the timeout: " + LATE + ", of these without a final answer "
                + "0.5 s after it: " + UNANSWERED + ", with a wrong body: " + WRONG);
        boolean broken = UNANSWERED.get() >= 8 && UNANSWERED.get() * 4 > LATE.get();
        return !broken && WRONG.get() == 0;
    }

    /** A sound server: a pull takes as long as its path says; a history is 160 KB, sent in ten parts within a second. */
    private static boolean serve(Kit.Server server, java.net.Socket connection, Kit.Request request) throws Exception {
        String[] path = request.path().split("/");
        if (path[1].equals("pull")) {
            Kit.sleep(Integer.parseInt(path[2]));
            byte[] body = Kit.content(request.target, 2000);
            Kit.send(connection, Kit.head(request, 200, body.length));
            connection.getOutputStream().write(body);
            return true;
        }
        byte[] body = Kit.content(request.target, PART * PARTS);
        Kit.sleep(40);
        try {
            Kit.send(connection, Kit.head(request, 200, body.length));
            OutputStream out = connection.getOutputStream();
            for (int i = 0; i < PARTS; i++) {
                out.write(body, i * PART, PART);
                out.flush();
                Kit.sleep(100);
            }
        } catch (java.io.IOException e) {
            BROKEN_AT_SERVER.incrementAndGet();
            Kit.say("server " + server.id + ": connection closed while it answered " + request.id());
            throw e;
        }
        return true;
    }

    /** Sends a request and, before it is answered, a further one; leaves before both are answered, or stays. */
    private static boolean pipeline(Kit.Host host, int number, boolean leaves, long end) throws Exception {
        long start = Kit.millis();
        Kit.sleep(130 * number);
        int count = 0;
        while (Kit.millis() < end) {
            count++;
            String first = Kit.id();
            String second = Kit.id();
            String path = number + "/" + count;
            boolean leavesNow = leaves && (Kit.millis() - start) % PERIOD_MS < WINDOW_MS - LEAVE_AFTER_MS;
            try (Kit.Client client = new Kit.Client(host.ip, Kit.FRONT)) {
                client.send(Kit.Client.request("GET", "/pull/2000/" + path, "1", first, DEADLINE_MS)
                        + Kit.Client.request("GET", "/pull/500/" + path, "2", second, DEADLINE_MS));
                if (leavesNow) {
                    Kit.sleep(LEAVE_AFTER_MS);
                    LEFT.incrementAndGet();
                    Kit.say("client leaves " + LEAVE_AFTER_MS + " ms after it sent " + first + " and " + second);
                } else {
                    Kit.Answer one = client.read(DEADLINE_MS);
                    Kit.Answer two = client.read(DEADLINE_MS);
                    STAYED.incrementAndGet();
                    Kit.say("pulls " + first + " and " + second + ": " + one + "; " + two);
                }
            }
            Kit.sleep(200);
        }
        return true;
    }

    /** Fetches large answers over a kept connection. */
    private static boolean fetch(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(150 * number);
        int count = 0;
        Kit.Client client = new Kit.Client(host.ip, Kit.FRONT);
        while (Kit.millis() < end) {
            count++;
            String id = Kit.id();
            String path = "/history/" + number + "/" + count;
            Kit.Answer answer = client.get(path, "3", id, DEADLINE_MS);
            FETCHED.incrementAndGet();
            if (answer.tookMs > TIMEOUT_MS) {
                LATE.incrementAndGet();
            }
            boolean final05 = (answer.whole || answer.cut) && answer.tookMs <= TIMEOUT_MS + 500;
            if (!final05) {
                UNANSWERED.incrementAndGet();
            }
            if (answer.whole && answer.status == 200 && !Arrays.equals(answer.body, Kit.content(path, PART * PARTS))) {
                WRONG.incrementAndGet();
            }
            Kit.say("fetch " + id + " " + path + ": " + answer);
            if (!answer.whole || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
                client.close();
                client = new Kit.Client(host.ip, Kit.FRONT);
            }
            Kit.sleep(50);
        }
        return true;
    }
}
