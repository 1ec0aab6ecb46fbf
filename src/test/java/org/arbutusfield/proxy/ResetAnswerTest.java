package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream that answers an upload without a length while it arrives, and then resets the connection. */
class ResetAnswerTest {
    private static final int BACKLOG = 16;
    private static final int BODY_BYTES = 600_000;
    private static final int PIECE_BYTES = 4 << 10;
    private static final int ANSWERS = 40;
    /** More than the buffers between the upstream and a caller that doesn't read. */
    private static final int UNREAD_ANSWER_BYTES = 32 << 20;

    private static final String ANSWER_HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    /** Answers each connection's first request with some bytes, and resets the connection at a signal or at once. */
    private static final class ResettingUpstream implements AutoCloseable {
        private final ServerSocket listener;
        private final int readBytes;
        private final int answerBytes;
        private final CountDownLatch blocked = new CountDownLatch(1);
        private final CountDownLatch reset = new CountDownLatch(1);

        private ResettingUpstream(int readBytes, int answerBytes) throws IOException {
            listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            this.readBytes = readBytes;
            this.answerBytes = answerBytes;
            startDaemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    startDaemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // The test has closed the listener.
                return;
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                in.readNBytes(readBytes);
                socket.setSoLinger(true, 0);
                socket.getOutputStream().write(ANSWER_HEAD.getBytes(StandardCharsets.US_ASCII));
                if (answerBytes < UNREAD_ANSWER_BYTES) {
                    socket.getOutputStream().write(new byte[answerBytes]);
                    return;
                }
                startDaemon(() -> writeAll(socket));
                blocked.countDown();
                reset.await();
            } catch (IOException e) {
                // The host has closed the connection.
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void writeAll(Socket socket) {
            try {
                socket.getOutputStream().write(new byte[answerBytes]);
            } catch (IOException e) {
                // The connection was reset.
                return;
            }
        }

        private Placement placement() {
            return ProxyFixture.alwaysAt(listener.getLocalPort());
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

    private static String head(int id) {
        return "POST /desk/book/1 HTTP/1.1\r\nhost: x\r\nx-request-id: r" + id + "\r\ncontent-length: " + BODY_BYTES
                + "\r\n\r\n";
    }

    private static void sendBody(RawCaller caller) {
        byte[] piece = new byte[PIECE_BYTES];
        for (int sent = 0; sent + PIECE_BYTES <= BODY_BYTES; sent += PIECE_BYTES) {
            try {
                caller.send(piece);
            } catch (UncheckedIOException e) {
                // The host has reset the connection.
                return;
            }
        }
    }

    /** Guards against half an answer that arrives as a whole one because a write of the body took the reset. */
    @Test
    @Timeout(60)
    void answerThatIsResetWhileItsUploadGoesOnIsCut() throws Exception {
        try (ResettingUpstream upstream = new ResettingUpstream(100_000, 20_000);
                ProxyFixture fixture =
                        ProxyFixture.of(0, 0, components -> components.withPlacement(upstream.placement()))) {
            for (int i = 0; i < ANSWERS; i++) {
                try (RawCaller caller = fixture.caller()) {
                    caller.send(head(i));
                    startDaemon(() -> sendBody(caller));
                    Response response = caller.read(false);
                    assertThat(response.status() == 200 && response.complete())
                            .as("answer %d with %d bytes", i, response.body().length)
                            .isFalse();
                }
            }
        }
    }

    /** Guards against half an answer that arrives as a whole one because the host itself closed the connection. */
    @Test
    @Timeout(60)
    void answerThatIsResetWhileItsCallerDoesNotReadIsCut() throws Exception {
        try (ResettingUpstream upstream = new ResettingUpstream(100_000, UNREAD_ANSWER_BYTES);
                ProxyFixture fixture =
                        ProxyFixture.of(0, 0, components -> components.withPlacement(upstream.placement()));
                RawCaller caller = RawCaller.connect(fixture.server.address(), 4 << 10)) {
            caller.send(head(0));
            byte[] half = new byte[BODY_BYTES / 2];
            caller.send(half);
            upstream.blocked.await();
            TimeUnit.MILLISECONDS.sleep(300); // Until the upstream's writes block.
            upstream.reset.countDown();
            startDaemon(() -> sendBody(caller));
            Response response = caller.read(false);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body().length).isLessThan(UNREAD_ANSWER_BYTES);
            assertThat(response.complete()).isFalse();
        }
    }
}
