import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Half of the servers spoil a few of their answers: HTTP/1.0, with a second length, the first of which is too short. */
public final class TwoLengths extends Case {
    private static final double SPOILT = 0.05;
    private final Random random = new Random(3);
    private final AtomicInteger spoilt = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        new TwoLengths().run(Path.of(args[0]));
    }

    @Override
    int play() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            boolean faulty = trouble && i % 2 == 0;
            startServer("i-" + i, "svc0", i < 2 ? "gulf-a" : "piedmont-a", 9, (server, request, socket) ->
                    answer(server, request, socket, faulty));
        }
        store.put("op/config", Config.of(7, 1, 0));
        startHost(11, "gulf-a", "gulf");
        startHost(12, "piedmont-a", "piedmont");
        if (!awaitHosts()) {
            return NOT_RUN;
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger half = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long endNanos = System.nanoTime() + 20_000_000_000L;
        for (int i = 0; i < 12; i++) {
            Edge host = hosts.get(i % 2);
            String method = i % 3 == 0 ? "POST" : "GET";
            Threads.start("client", () -> {
                while (System.nanoTime() - endNanos < 0) {
                    String id = String.format("%016x", 0x60000 + sent.incrementAndGet());
                    journal.add("sent id=" + id + " " + method + " host=" + host.name);
                    String what = ask(host, method, id);
                    journal.add("answered id=" + id + " " + what);
                    (what.equals("whole") ? whole : what.startsWith("half") ? half : other).incrementAndGet();
                    Threads.sleep(60);
                }
            });
        }
        Threads.sleep(24_000);
        journal.say("sent " + sent + ", whole answers " + whole + ", other ends " + other + ", answers spoilt by servers "
                + spoilt);
        journal.say("successes that end in order, with a part of the server's body: " + half);
        return half.get() > 0 ? BROKEN : HELD;
    }

    private static String ask(Edge host, String method, String id) {
        String path = (method.equals("GET") ? "/view0/" : "/hold0/") + id;
        try {
            String fields = "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n";
            Client.Response response =
                    new Client(host.ip, host.front, 6000).send(method, path, fields, method.equals("GET") ? "" : "hold");
            String body = new String(response.message().body(), StandardCharsets.ISO_8859_1);
            boolean success = response.status() == 200 && response.message().field("x-server-seal") != null;
            return !success ? "status " + response.status() : body.equals(body(path)) ? "whole" : "half: " + body;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String body(String path) {
        return "the whole quote of " + path + ", with all of its lines and its end";
    }

    private boolean answer(Upstream server, Http.Message request, Socket socket, boolean faulty) throws IOException {
        Threads.sleep(200);
        String seal = "X-Server-Seal: s." + server.id + "\r\n";
        String body = body(request.word(1));
        boolean spoil;
        synchronized (random) {
            spoil = faulty && random.nextDouble() < SPOILT;
        }
        if (!spoil) {
            Upstream.respond(socket, request, "200 OK", seal, body);
            return true;
        }
        spoilt.incrementAndGet();
        journal.add("spoilt answer, server=" + server.id + " to " + request.word(1));
        String head = "HTTP/1.0 200 OK\r\nX-Request-Id: " + request.field("x-request-id") + "\r\n" + seal
                + "Content-Length: " + body.length() / 2 + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return false;
    }
}
