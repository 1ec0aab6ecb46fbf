import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload large bodies. One of eight servers hangs, at times, with part of its requests: it reads no more of them
 * and never answers.
 */
public final class HungUpload {
    private static final int TIMEOUT_MS = 4000;
    private static final int DEADLINE_MS = 8000;
    private static final int BODY = 6 << 20;
    private static final int CLIENTS = 12;
    private static final int RUN_MS = 54_000;
    private static final int SERVERS = 8;
    private static final double HANGS = 0.45;
    /** The server hangs with requests in these times only: 6.5 s of each 8 s. */
    private static final int PERIOD_MS = 8000;

    private static final int WINDOW_MS = 6500;
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger DONE = new AtomicInteger();
    private static final AtomicInteger HUNG = new AtomicInteger();
    private static final AtomicInteger OPEN_AT_TIMEOUT = new AtomicInteger();
    private static final AtomicInteger OPEN_AFTER = new AtomicInteger();
    private static final AtomicInteger NEVER = new AtomicInteger();

    public static void main(String[] args) {
        Kit.main(HungUpload::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.configure(store, 3, List.of("arquivo"), Kit.route("/envio/", "upload", "arquivo", TIMEOUT_MS, 2));
        for (int i = 0; i < SERVERS; i++) {
            boolean grey = Kit.TROUBLE && i == 0;
            Kit.Server server = new Kit.Server(
                    "arquivo", "recife-a", store, 0, (self, connection, request) -> serve(connection, request, grey));
            server.headOnly = true;
            server.register(server.address());
        }
        Kit.Host host =
                new Kit.Host("edge-recife-a-1", "recife-a", "recife", store, Map.of("recife-a", "recife"), Map.of());
        host.start();
        host.awaitReady();
        Kit.sleep(1500);
        long end = Kit.millis() + RUN_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Kit.spawn("client", () -> upload(host, number, end)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.say("uploads: " + SENT + ", answered with success: " + DONE + ", hung at the server: " + HUNG
                + ", unanswered at the route's timeout: " + OPEN_AT_TIMEOUT + ", of these 0.5 s later: " + OPEN_AFTER
                + ", never answered up to the client's deadline: " + NEVER);
        return OPEN_AFTER.get() * 2 <= OPEN_AT_TIMEOUT.get();
    }

    private static boolean serve(Socket connection, Kit.Request request, boolean grey) throws Exception {
        InputStream in = connection.getInputStream();
        if (grey && Kit.millis() % PERIOD_MS < WINDOW_MS && ThreadLocalRandom.current().nextDouble() < HANGS) {
            HUNG.incrementAndGet();
            Kit.say("server hangs with " + request.id());
            Kit.sleep(60_000);
            return false;
        }
        long left = Long.parseLong(request.headers.get("content-length"));
        byte[] buffer = new byte[64 << 10];
        while (left > 0) {
            int count = in.read(buffer);
            if (count < 0) {
                throw new IOException("connection ended");
            }
            left -= count;
        }
        Kit.sleep(150);
        byte[] answer = Kit.content(request.id(), 1500);
        Kit.send(connection, Kit.head(request, 200, answer.length));
        connection.getOutputStream().write(answer);
        return true;
    }

    private static boolean upload(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(100 * number);
        int count = 0;
        while (Kit.millis() < end) {
            count++;
            String id = Kit.id();
            String path = "/envio/" + number + "/" + count;
            long start = Kit.millis();
            SENT.incrementAndGet();
            try (Kit.Client client = new Kit.Client(host.ip, Kit.FRONT)) {
                Kit.spawn("sender", () -> {
                    client.send(Kit.Client.request(
                            "POST", path, "1", id, DEADLINE_MS, "Content-Length: " + BODY + "\r\n"));
                    try {
                        client.socket.getOutputStream().write(Kit.content(id, BODY));
                    } catch (IOException e) {
                        return false;
                    }
                    return true;
                });
                Kit.Answer answer = client.read(DEADLINE_MS);
                long took = Kit.millis() - start;
                boolean answered = answer.whole || answer.cut;
                if (answer.whole && answer.status == 200) {
                    DONE.incrementAndGet();
                } else {
                    Kit.say("upload " + id + ": " + answer);
                }
                if (!answered || took > TIMEOUT_MS) {
                    OPEN_AT_TIMEOUT.incrementAndGet();
                }
                if (!answered || took > TIMEOUT_MS + 500) {
                    OPEN_AFTER.incrementAndGet();
                }
                if (!answered) {
                    NEVER.incrementAndGet();
                }
            }
            Kit.sleep(300);
        }
        return true;
    }
}
