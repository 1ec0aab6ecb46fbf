import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Half of the servers send a few of their answers twice; the second one is late, and its request id is missing. */
public final class NamelessExtra extends Case {
    /** Part of the answers of such a server that come twice. */
    private static final double SPOILT = 0.05;

    private static final int LATE_MILLIS = 250;
    private final Random random = new Random(3);
    private final AtomicInteger extras = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new NamelessExtra().run(Path.of(args[0]));
    }

    @Override
    int play() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            boolean faulty = trouble && i % 2 == 0;
            startServer("i-" + i, "svc0", i < 2 ? "gulf-a" : "piedmont-a", 9, (server, request, socket) -> {
                answer(server, request, socket, faulty);
                return true;
            });
        }
        store.put("op/config", Config.of(7, 1, 0));
        startHost(11, "gulf-a", "gulf");
        startHost(12, "piedmont-a", "piedmont");
        if (!awaitHosts()) {
            return NOT_RUN;
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger sound = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long endNanos = System.nanoTime() + 30_000_000_000L;
        for (int i = 0; i < 16; i++) {
            Edge host = hosts.get(i % 2);
            Threads.start("client", () -> {
                while (System.nanoTime() - endNanos < 0) {
                    String id = String.format("%016x", 0x50000 + sent.incrementAndGet());
                    journal.add("sent id=" + id + " host=" + host.name);
                    String what = ask(host, id);
                    journal.add("answered id=" + id + " " + what);
                    (what.startsWith("sound") ? sound : what.startsWith("foreign") ? foreign : other).incrementAndGet();
                    Threads.sleep(60);
                }
            });
        }
        Threads.sleep(34_000);
        journal.say("sent " + sent + ", sound answers " + sound + ", other ends " + other + ", second answers sent by servers "
                + extras);
        journal.say("successes whose body belongs to another request: " + foreign);
        return foreign.get() > 0 ? BROKEN : HELD;
    }

    /** The body of an answer names the path of its request, which holds the id. */
    private static String ask(Edge host, String id) {
        String path = "/view0/" + id;
        try {
            String fields = "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n";
            Client.Response response = new Client(host.ip, host.front, 6000).get(path, fields);
            String body = new String(response.message().body(), StandardCharsets.ISO_8859_1);
            boolean success = response.status() == 200 && response.message().field("x-server-seal") != null;
            return !success ? "status " + response.status() : body.equals("quote of " + path) ? "sound" : "foreign: " + body;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void answer(Upstream server, Http.Message request, Socket socket, boolean faulty) throws IOException {
        Threads.sleep(350);
        String seal = "X-Server-Seal: s." + server.id + "\r\n";
        String body = "quote of " + request.word(1);
        synchronized (socket) {
            Upstream.respond(socket, request, "200 OK", seal, body);
        }
        boolean twice;
        synchronized (random) {
            twice = faulty && random.nextDouble() < SPOILT;
        }
        if (twice) {
            Threads.start("extra", () -> {
                Threads.sleep(LATE_MILLIS);
                String bytes = "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                try {
                    synchronized (socket) {
                        OutputStream out = socket.getOutputStream();
                        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                        out.flush();
                    }
                    extras.incrementAndGet();
                    journal.add("second answer, without id, server=" + server.id + " to " + request.word(1));
                } catch (IOException e) {
                    // The host has closed the connection.
                }
            });
        }
    }
}
