import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients fetch large answers, send further requests before the first is answered, and read slowly. Other clients, which
 * read at once, send small requests to the same host.
 */
public final class SlowReaders {
    private static final int SLOW_CLIENTS = 60;
    private static final int REQUESTS = 12;
    private static final int LARGE = 500_000;
    private static final byte[] LARGE_BODY = Kit.content("large", LARGE);
    private static final int SMALL = 2_000;
    /** Bytes that a server sends each millisecond, 20 Mbit/s. */
    private static final int PIECE = 2_500;

    private static final int CLIENTS = 20;
    private static final int TIMEOUT_MS = 2000;
    private static final int DEADLINE_MS = 6000;
    private static final int LARGE_TIMEOUT_MS = 20_000;
    /** The slow clients come in this time. */
    private static final int SLOW_MS = 25_000;
    private static final int RUN_MS = 50_000;

    private static final AtomicInteger ASKED = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger NEVER = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger LARGE_DONE = new AtomicInteger();
    private static final AtomicInteger LARGE_CUT = new AtomicInteger();
    private static final AtomicInteger NOT_READY = new AtomicInteger();

    public static void main(String[] args) {
        Kit.main(SlowReaders::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.configure(
                store,
                3,
                List.of("archive-store", "status-api"),
                Kit.route("/receipts/", "download", "archive-store", LARGE_TIMEOUT_MS, 2),
                Kit.route("/status/", "idempotent", "status-api", TIMEOUT_MS, 2));
        for (int i = 0; i < 8; i++) {
            String service = i < 4 ? "archive-store" : "status-api";
            Kit.Server server = new Kit.Server(service, "kigali-a", store, 0, SlowReaders::serve);
            server.register(server.address());
        }
        Kit.Host host =
                new Kit.Host("edge-kigali-a-1", "kigali-a", "kigali", store, Map.of("kigali-a", "kigali"), Map.of());
        host.start();
        host.awaitReady();
        Kit.sleep(1500);
        long end = Kit.millis() + RUN_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Kit.spawn("client", () -> ask(host, number, end)));
        }
        threads.add(Kit.spawn("platform", () -> watchReadiness(host, end)));
        Kit.sleep(4000);
        Kit.say("clients begin to fetch large answers");
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            Kit.spawn("fetching client", () -> fetch(host, number, end - RUN_MS + 4000 + SLOW_MS));
        }
        while (Kit.millis() < end) {
            Kit.sleep(2000);
            Kit.say("so far: asked " + ASKED + " served " + SERVED + " no answer at the timeout + 0.5 s " + UNANSWERED
                    + " failed " + FAILED + " cut " + CUT + "; large answers whole " + LARGE_DONE + " cut " + LARGE_CUT);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.say("small requests: " + ASKED + ", served: " + SERVED + ", unanswered at the route's timeout: " + LATE
                + ", of these 0.5 s later: " + UNANSWERED + ", never answered up to the client's deadline: " + NEVER
                + ", ended with a failure: " + FAILED + ", connections cut: " + CUT);
        Kit.say("questions for readiness without a 200 within a second: " + NOT_READY);
        return UNANSWERED.get() < 8 || UNANSWERED.get() * 2 <= LATE.get();
    }

    private static boolean serve(Kit.Server server, Socket connection, Kit.Request request) throws Exception {
        byte[] body = request.path().startsWith("/receipts/") ? LARGE_BODY : Kit.content(request.target, SMALL);
        Kit.sleep(50);
        Kit.send(connection, Kit.head(request, 200, body.length));
        for (int sent = 0; sent < body.length; sent += PIECE) {
            connection.getOutputStream().write(body, sent, Math.min(PIECE, body.length - sent));
            Kit.sleep(1);
        }
        return true;
    }

    /** Sends all requests at once and reads 64 KB a second, or at once without the disruption. */
    private static boolean fetch(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(number * 40L);
        while (Kit.millis() < end) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(16 << 10);
                socket.connect(new InetSocketAddress(host.ip, Kit.FRONT), 2000);
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < REQUESTS; i++) {
                    requests.append(
                            Kit.Client.request("GET", "/receipts/" + number + "/" + i, "1", Kit.id(), LARGE_TIMEOUT_MS));
                }
                Kit.send(socket, requests.toString());
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[16 << 10];
                long read = 0;
                long deadline = Kit.millis() + LARGE_TIMEOUT_MS;
                while (Kit.millis() < deadline && read < (long) REQUESTS * LARGE) {
                    int count = in.read(buffer);
                    if (count < 0) {
                        throw new IOException("connection ended");
                    }
                    read += count;
                    LARGE_DONE.addAndGet((int) (read / LARGE - (read - count) / LARGE));
                    if (Kit.TROUBLE) {
                        Kit.sleep(250);
                    }
                }
            } catch (IOException e) {
                LARGE_CUT.incrementAndGet();
            }
            Kit.sleep(2000);
        }
        return true;
    }

    private static boolean ask(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(10 * number);
        int count = 0;
        Kit.Client client = null;
        while (Kit.millis() < end) {
            count++;
            String id = Kit.id();
            long start = Kit.millis();
            Kit.Answer answer = new Kit.Answer();
            try {
                if (client == null) {
                    client = new Kit.Client(host.ip, Kit.FRONT);
                }
                ASKED.incrementAndGet();
                answer = client.get("/status/" + number + "/" + count, "3", id, DEADLINE_MS);
            } catch (IOException e) {
                answer.cut = true;
            }
            long took = Kit.millis() - start;
            boolean answered = answer.whole || answer.cut;
            if (answer.whole && answer.status == 200) {
                SERVED.incrementAndGet();
            } else if (answer.whole) {
                FAILED.incrementAndGet();
            } else if (answer.cut) {
                CUT.incrementAndGet();
            }
            if (!answered || took > TIMEOUT_MS) {
                LATE.incrementAndGet();
            }
            if (!answered || took > TIMEOUT_MS + 500) {
                UNANSWERED.incrementAndGet();
            }
            if (!answered) {
                NEVER.incrementAndGet();
            }
            if (!answer.whole || answer.status != 200 || took > 500) {
                Kit.say("request " + id + ": " + answer + " in all_ms=" + took);
            }
            if (client != null && (!answer.whole || "close".equalsIgnoreCase(answer.headers.get("connection")))) {
                client.close();
                client = null;
            }
            Kit.sleep(200);
        }
        return true;
    }

    /** Asks each second whether the host is ready. */
    private static boolean watchReadiness(Kit.Host host, long end) throws Exception {
        while (Kit.millis() < end) {
            long start = Kit.millis();
            try (Kit.Client client = new Kit.Client(host.ip, Kit.READY)) {
                if (client.get("/ready", "-", Kit.id(), 1000).status != 200) {
                    NOT_READY.incrementAndGet();
                    Kit.say("the host doesn't answer whether it is ready");
                }
            } catch (IOException e) {
                NOT_READY.incrementAndGet();
                Kit.say("the host doesn't answer whether it is ready: " + e.getMessage());
            }
            Kit.sleep(1000 - (Kit.millis() - start));
        }
        return true;
    }
}
