package org.arbutusfield.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** An upstream that pauses in the middle of each of its answers. */
final class PausingUpstream implements AutoCloseable {
    static final String BODY = "first half, second half";
    private static final int BACKLOG = 16;

    private final ServerSocket listener;
    private final Duration pause;

    private PausingUpstream(ServerSocket listener, Duration pause) {
        this.listener = listener;
        this.pause = pause;
    }

    /** Starts an upstream that pauses for some time after the first half of a body. */
    static PausingUpstream start(Duration pause) {
        try {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            PausingUpstream upstream = new PausingUpstream(listener, pause);
            Thread acceptor = new Thread(upstream::accept);
            acceptor.setDaemon(true);
            acceptor.start();
            return upstream;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Placement placement() {
        return ProxyFixture.alwaysAt(listener.getLocalPort());
    }

    private void accept() {
        try {
            while (true) {
                serve(listener.accept());
            }
        } catch (IOException e) {
            // The test has closed the listener.
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            int half = BODY.length() / 2;
            connection.getInputStream().read(new byte[1024]);
            write(connection, "HTTP/1.1 200 OK\r\ncontent-length: " + BODY.length() + "\r\n\r\n");
            write(connection, BODY.substring(0, half));
            TimeUnit.NANOSECONDS.sleep(pause.toNanos());
            write(connection, BODY.substring(half));
        } catch (IOException e) {
            // The host has closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
