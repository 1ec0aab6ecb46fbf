package org.arbutusfield.lab.proxy;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A caller that sends one request at a time on one connection and waits for each response. */
public final class BlockingCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    private final Socket socket;
    private final InputStream in;

    private BlockingCaller(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Opens a connection. */
    public static BlockingCaller connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address, TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return new BlockingCaller(socket);
    }

    /** Sends a GET request and returns the status code. */
    int call(String target) throws IOException {
        return exchange("GET " + target + " HTTP/1.1\r\nhost: bench\r\n\r\n").status();
    }

    /**
     * Sends a request and reads its response.
     *
     * @param request the complete request, with head and body
     * @return the response; the connection can be reused if {@link Response#keepsConnection} is true
     */
    public Response exchange(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        int status = Integer.parseInt(readLine().substring(STATUS_START, STATUS_END));
        Map<String, String> headers = new HashMap<>();
        String line = readLine();
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine();
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Response(status, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /**
     * An HTTP response.
     *
     * @param status status code
     * @param headers header fields, with names in lower case
     * @param body body, which is shorter than {@code content-length} if the connection ended early
     */
    public record Response(int status, Map<String, String> headers, String body) {
        /** Returns whether the body has the length given by {@code content-length}. */
        public boolean complete() {
            return body.length() == Integer.parseInt(headers.getOrDefault("content-length", "-1"));
        }

        /** Returns whether the server keeps the connection open. */
        public boolean keepsConnection() {
            return !"close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private String readLine() throws IOException {
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
