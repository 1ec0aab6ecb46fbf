package org.arbutusfield.lab.proxy;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller that sends one request after the other on one connection and waits for each answer. */
final class BlockingCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;
    private static final String LENGTH = "content-length:";

    private final Socket socket;
    private final InputStream in;

    private BlockingCaller(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream());
    }

    static BlockingCaller connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address, TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return new BlockingCaller(socket);
    }

    /** Calls GET and returns the status. */
    int call(String target) throws IOException {
        String request = "GET " + target + " HTTP/1.1\r\nhost: bench\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        int status = Integer.parseInt(line().substring(STATUS_START, STATUS_END));
        int length = 0;
        String line = line();
        while (!line.isEmpty()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith(LENGTH)) {
                length = Integer.parseInt(lower.substring(LENGTH.length()).strip());
            }
            line = line();
        }
        in.skipNBytes(length);
        return status;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            if (next == '\n') {
                return text.toString().stripTrailing();
            }
            text.append((char) next);
        }
    }
}
