package org.arbutusfield.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reuse of connections, against a scripted peer. */
class HttpClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpClient client = HttpClient.reusingConnections(group, LONG_TIMEOUT, LONG_TIMEOUT);
    private final AtomicInteger connections = new AtomicInteger();
    /** Held for the whole test, because the collector closes a socket that nothing refers to. */
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();

    private ServerSocket server;

    @BeforeEach
    void bind() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        for (Socket socket : accepted) {
            socket.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Answers the given number of requests on each connection, then closes it or stops responding. */
    private void serve(int responses, boolean silent, String connectionHeader) {
        serve(responses, silent, "HTTP/1.1 200 OK\r\n", connectionHeader);
    }

    private void serve(int responses, boolean silent, String start, String fields) {
        Thread peer = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    accepted.add(socket);
                    connections.incrementAndGet();
                    for (int i = 0; i < responses; i++) {
                        readHead(socket);
                        String response = start + "Content-Length: 1\r\n" + fields + "\r\nx";
                        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    if (!silent) {
                        socket.close();
                    }
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        peer.setDaemon(true);
        peer.start();
    }

    private static void readHead(Socket socket) throws IOException {
        int last = 0;
        while (true) {
            int next = socket.getInputStream().read();
            if (next < 0 || (last == '\n' && next == '\r')) {
                socket.getInputStream().read();
                return;
            }
            last = next;
        }
    }

    private Either<Failure, SimpleHttpResponse> call(String method, Duration timeout) {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        return client.call(address, SimpleHttpRequest.of(method, "/x"), timeout).join();
    }

    @Test
    void requestsShareConnection() {
        serve(100, false, "");
        for (int i = 0; i < 5; i++) {
            assertThat(call("GET", LONG_TIMEOUT).get().text()).isEqualTo("x");
        }
        assertThat(connections).hasValue(1);
    }

    @Test
    void connectionClosedByPeerIsNotReused() {
        serve(1, false, "Connection: close\r\n");
        for (int i = 0; i < 3; i++) {
            assertThat(call("POST", LONG_TIMEOUT).isRight()).isTrue();
        }
        assertThat(connections).hasValue(3);
    }

    /**
     * The peer closed an idle connection or stopped responding on it. A {@code GET} is retried if the connection was
     * closed, and the next request gets a new connection.
     */
    @ParameterizedTest
    @CsvSource({
        "closed, GET,  , 2",
        "silent, GET,  PEER_TIMEOUT, 1",
        "silent, POST, PEER_TIMEOUT, 1",
    })
    void brokenIdleConnectionIsReplaced(String fault, String method, ErrorCode failure, int connectionsUsed) {
        serve(1, fault.equals("silent"), "");
        assertThat(call("GET", LONG_TIMEOUT).isRight()).isTrue();
        Either<Failure, SimpleHttpResponse> second = call(method, SHORT_TIMEOUT);
        assertThat(second.isLeft() ? second.getLeft().code() : null).isEqualTo(failure);
        assertThat(connections).hasValue(connectionsUsed);
        assertThat(call("GET", LONG_TIMEOUT).isRight()).isTrue();
    }

    /** Guards against decisions on a response of the store, or of another host, whose head is broken. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 000 OK, x-sound: 1",
        "HTTP/1.1 99 OK, x-sound: 1",
        "HTTP/1.1 +200 OK, x-sound: 1",
        "HTTP/2.0 200 OK, x-sound: 1",
        "HTTP/1.1 200 OK, x broken: 1",
        "HTTP/1.1 200 OK, x-broken : 1",
        "HTTP/1.1 200 OK, x\u0001broken: 1",
        "HTTP/1.0 200 OK, content-length: 0",
        "HTTP/1.1 200 OK, content-length: 0",
        "HTTP/1.0 200 OK, transfer-encoding: chunked",
        "HTTP/1.1 200 OK, transfer-encoding: chunked",
    })
    void responseWithABrokenHeadIsAFailure(String statusLine, String field) {
        serve(100, false, statusLine + "\r\n", field + "\r\n");
        Either<Failure, SimpleHttpResponse> response = call("POST", LONG_TIMEOUT);
        assertThat(response.isLeft()).isTrue();
        assertThat(response.getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }

    /** Guards against an interim response that is taken for the final one, and the final one for a later request. */
    @ParameterizedTest
    @CsvSource({"100 Continue", "102 Processing", "103 Early Hints"})
    void interimResponseDoesNotCompleteTheCall(String status) {
        serve(100, false, "HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\n", "");
        for (int i = 0; i < 5; i++) {
            SimpleHttpResponse response = call("POST", LONG_TIMEOUT).get();
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.text()).isEqualTo("x");
        }
        assertThat(connections).hasValue(1);
    }

    /** Guards against taking what follows the response to a HEAD request for its body. */
    @Test
    void responseToAHeadRequestHasNoBody() {
        serve(100, true, "");
        assertThat(call("HEAD", LONG_TIMEOUT).map(SimpleHttpResponse::text)).isEqualTo(Either.right(""));
    }
}
