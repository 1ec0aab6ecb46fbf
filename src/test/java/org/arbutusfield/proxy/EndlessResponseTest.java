package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An upstream in trouble sends bytes without end. The caller gets a response in time and the host closes. */
class EndlessResponseTest {
    private static final int BACKLOG = 16;
    private static final String CHUNK = "400\r\n" + "x".repeat(0x400) + "\r\n";

    /** What the upstream sends: a beginning, and bytes that it repeats until the connection is closed. */
    private enum Response {
        NOT_HTTP("", "x".repeat(1024), 502),
        HEAD_FIELD("HTTP/1.1 200 OK\r\nx-long: ", "x".repeat(1024), 502),
        HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "x-many: x\r\n".repeat(100), 502),
        INFORMATIONAL("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50), 502),
        NOT_A_CHUNK("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "x".repeat(1024), 0),
        TRAILERS("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-many: x\r\n".repeat(100), 0),
        REFUSAL("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK.repeat(4), 503),
        SLOW_REFUSAL("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\n", "", 503),
        SURPLUS("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "x".repeat(1024), 200);

        private final String start;
        private final String repeated;
        /** Status that the caller gets; 0 where the response breaks off after its head. */
        private final int status;

        Response(String start, String repeated, int status) {
            this.start = start;
            this.repeated = repeated;
            this.status = status;
        }
    }

    /** Accepts connections and sends the response on each; completes when the host has closed the first one. */
    private static final class EndlessUpstream implements AutoCloseable {
        private final ServerSocket listener;
        private final byte[] start;
        private final byte[] repeated;
        private final CompletableFuture<Void> closedByHost = new CompletableFuture<>();

        private EndlessUpstream(int port, String start, String repeated) throws IOException {
            listener = bind(port);
            this.start = start.getBytes(StandardCharsets.US_ASCII);
            this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
            startDaemon(this::accept);
        }

        /** Binds the port as soon as its earlier listener has freed it. */
        private static ServerSocket bind(int port) throws IOException {
            while (true) {
                try {
                    return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
                } catch (BindException e) {
                    Thread.onSpinWait();
                }
            }
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    startDaemon(() -> respond(socket));
                }
            } catch (IOException e) {
                // The test has closed the listener.
                closedByHost.cancel(false);
            }
        }

        private void respond(Socket socket) {
            try (socket) {
                assertThat(socket.getInputStream().read()).isPositive();
                OutputStream out = socket.getOutputStream();
                out.write(start);
                while (repeated.length > 0) {
                    out.write(repeated);
                }
                // Nothing follows, and the rest of the request ends when the host closes.
                out.flush();
                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                closedByHost.complete(null);
            } catch (IOException e) {
                closedByHost.complete(null);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static EndlessUpstream replaceUpstream(ProxyFixture fixture, String start, String repeated)
            throws IOException {
        int port = fixture.upstream().address().getPort();
        fixture.upstream().close();
        return new EndlessUpstream(port, start, repeated);
    }

    /** Guards against a connection on which a response without end is read for ever. */
    @ParameterizedTest
    @EnumSource
    @Timeout(30)
    void connectionOfAnEndlessResponseIsClosed(Response response) throws Exception {
        try (ProxyFixture fixture = ProxyFixture.of(1);
                EndlessUpstream upstream = replaceUpstream(fixture, response.start, response.repeated);
                RawCaller caller = fixture.caller()) {
            caller.send(get("/desk/x", "x").replace("host: x", "host: x\r\nx-request-deadline-ms: 1500"));
            if (response.status != 0) {
                assertThat(caller.read(false).status()).isEqualTo(response.status);
            }
            upstream.closedByHost.get(10, TimeUnit.SECONDS);
        }
    }

    /** A body without length may be of any size; it ends with the caller. */
    @Test
    @Timeout(30)
    void endlessBodyEndsWhenTheCallerCloses() throws Exception {
        String start = "HTTP/1.1 200 OK\r\n\r\n";
        try (ProxyFixture fixture = ProxyFixture.of(1);
                EndlessUpstream upstream = replaceUpstream(fixture, start, "x".repeat(1024))) {
            RawCaller caller = fixture.caller();
            caller.send(get("/desk/x", "x"));
            while (fixture.server.upstreamConnections() == 0) {
                Thread.onSpinWait();
            }
            caller.close();
            upstream.closedByHost.get(10, TimeUnit.SECONDS);
        }
    }
}
