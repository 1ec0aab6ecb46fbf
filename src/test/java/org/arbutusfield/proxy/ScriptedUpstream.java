package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;

/** An upstream that writes exactly the bytes of a script as its responses, and closes a connection when told to. */
final class ScriptedUpstream implements AutoCloseable {
    private final ServerSocket socket;
    private final Script script;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile String lastId = "";
    private volatile boolean readsBodies = true;

    private ScriptedUpstream(ServerSocket socket, Script script) {
        this.socket = socket;
        this.script = script;
    }

    /** Decides what is written as the response to a request. */
    @FunctionalInterface
    interface Script {
        /**
         * Returns the response.
         *
         * @param number number of the request on its connection, from 1
         * @param id id of the request
         */
        Reply reply(int number, String id);
    }

    /** The bytes of a response, and whether the connection is closed after them. */
    record Reply(String text, boolean close) {
        static Reply keep(String text) {
            return new Reply(text, false);
        }

        static Reply thenClose(String text) {
            return new Reply(text, true);
        }
    }

    /** Starts an upstream. */
    static ScriptedUpstream start(Script script) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.bind(ProxyFixture.ANY_PORT);
            ScriptedUpstream upstream = new ScriptedUpstream(socket, script);
            Thread acceptor = new Thread(upstream::accept);
            acceptor.setDaemon(true);
            acceptor.start();
            return upstream;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts an upstream that reads the head of each request and nothing more, until it is told that all is done. */
    static ScriptedUpstream neverReadingBodies(CountDownLatch done) {
        return answeringHeads((number, id) -> {
            awaitQuietly(done);
            return Reply.thenClose("");
        });
    }

    /** Starts an upstream that answers each request by its script as soon as it has read its head. */
    static ScriptedUpstream answeringHeads(Script script) {
        ScriptedUpstream upstream = start(script);
        upstream.readsBodies = false;
        return upstream;
    }

    /** A placement that chooses the first of some upstreams that has not been tried for the request. */
    static Placement inTurn(ScriptedUpstream... upstreams) {
        return request -> CompletableFuture.completedFuture(Stream.of(upstreams)
                .filter(upstream -> !request.tried().contains(upstream.name()))
                .findFirst()
                .<Either<Failure, PlacementTarget>>map(upstream -> Either.right(upstream.target()))
                .orElseGet(() -> Either.left(Failure.of(ErrorCode.NO_UPSTREAM))));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a host that has this upstream alone, and sends it each request once. */
    ProxyFixture fixture() {
        return ProxyFixture.of(0, 0, components -> components.withPlacement(inTurn(this)));
    }

    private String name() {
        return "scripted-" + port();
    }

    private PlacementTarget target() {
        Upstream upstream = new Upstream(name(), "desk", "gulf-a", "127.0.0.1", port(), 64, 64);
        return new PlacementTarget.UpstreamTarget(upstream, Permit.NONE);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns the id of the request that was read last on any connection. */
    String lastId() {
        return lastId;
    }

    /** Returns how many requests have been read as a whole. */
    int requests() {
        return requests.get();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Thread thread = new Thread(() -> serve(connection));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (int number = 1; ; number++) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                if (readsBodies) {
                    in.readNBytes(Integer.parseInt(field(head, "content-length", "0")));
                }
                String id = field(head, "x-request-id", "");
                lastId = id;
                requests.incrementAndGet();
                Reply reply = script.reply(number, id);
                connection.getOutputStream().write(reply.text().getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().flush();
                if (reply.close()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The host has closed the connection.
            return;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static String field(String head, String name, String otherwise) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse(otherwise);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
