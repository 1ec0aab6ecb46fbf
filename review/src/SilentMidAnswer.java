import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The host is partitioned from all servers for some seconds, silently, while answers are on their way. */
public final class SilentMidAnswer {
    private static final int TIMEOUT_MS = 2500;
    private static final int DEADLINE_MS = 6000;
    private static final int PART = 16 << 10;
    private static final int PARTS = 10;
    private static final int CLIENTS = 16;
    private static final int CUT_MS = 8_000;
    private static final AtomicInteger FETCHED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger NEVER = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();
    private static volatile boolean cut;

    public static void main(String[] args) {
        Kit.main(SilentMidAnswer::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.configure(
                store, 3, List.of("archive"), Kit.route("/history/", "idempotent", "archive", TIMEOUT_MS, 2));
        for (int i = 0; i < 6; i++) {
            Kit.Server server = new Kit.Server("archive", "windhoek-a", store, 0, SilentMidAnswer::serve);
            server.register(new Link(server).ip + ":8080");
        }
        Kit.Host host = new Kit.Host(
                "edge-windhoek-a-1", "windhoek-a", "windhoek", store, Map.of("windhoek-a", "windhoek"), Map.of());
        host.start();
        host.awaitReady();
        Kit.sleep(1500);
        long end = Kit.millis() + 22_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Kit.spawn("client", () -> fetch(host, number, end)));
        }
        Kit.sleep(8_000);
        if (Kit.TROUBLE) {
            cut = true;
            Kit.say("the host is partitioned from all servers, silently");
            Kit.sleep(CUT_MS);
            cut = false;
            Kit.say("the partition has ended");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.say("fetches: " + FETCHED + ", longer than the timeout: " + LATE + ", of these without a final answer "
                + "0.5 s after it: " + UNANSWERED + ", with no end up to the client's deadline: " + NEVER
                + ", with a wrong body: " + WRONG);
        return !(UNANSWERED.get() >= 8 && UNANSWERED.get() * 4 > LATE.get());
    }

    private static boolean serve(Kit.Server server, Socket connection, Kit.Request request) throws Exception {
        byte[] body = Kit.content(request.target, PART * PARTS);
        Kit.sleep(40);
        Kit.send(connection, Kit.head(request, 200, body.length));
        OutputStream out = connection.getOutputStream();
        for (int i = 0; i < PARTS; i++) {
            out.write(body, i * PART, PART);
            out.flush();
            Kit.sleep(80);
        }
        return true;
    }

    private static boolean fetch(Kit.Host host, int number, long end) throws Exception {
        Kit.sleep(60 * number);
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
            if (answer.tookMs > TIMEOUT_MS + 500) {
                UNANSWERED.incrementAndGet();
            }
            if (!answer.whole && !answer.cut) {
                NEVER.incrementAndGet();
            }
            if (answer.whole && answer.status == 200 && !Arrays.equals(answer.body, Kit.content(path, PART * PARTS))) {
                WRONG.incrementAndGet();
            }
            Kit.say("fetch " + id + " " + path + ": " + answer);
            if (!answer.whole || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
                client.close();
                client = new Kit.Client(host.ip, Kit.FRONT);
            }
            Kit.sleep(answer.status == 200 ? 50 : 400);
        }
        return true;
    }

    /** The path from the host to a server. */
    private static final class Link {
        final String ip;

        Link(Kit.Server server) throws Exception {
            ip = Kit.freeIp(8080);
            ServerSocket listener = new ServerSocket();
            listener.bind(new InetSocketAddress(ip, 8080), 500);
            Kit.spawn("link", () -> {
                while (true) {
                    Socket near = listener.accept();
                    Socket far = new Socket(server.ip, server.port);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Kit.spawn("to server", () -> pump(near, far));
                    Kit.spawn("to host", () -> pump(far, near));
                }
            });
        }

        private static boolean pump(Socket from, Socket to) {
            byte[] buffer = new byte[16 << 10];
            try (from;
                    to) {
                int count;
                while ((count = from.getInputStream().read(buffer)) >= 0) {
                    while (cut) {
                        Kit.sleep(20);
                    }
                    to.getOutputStream().write(buffer, 0, count);
                }
            } catch (IOException e) {
                return false;
            }
            return true;
        }
    }
}
