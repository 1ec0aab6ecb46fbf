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

/** A caller that sends one request after the other on one connection and waits for each answer. */
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

    /** Calls GET and returns the status. */
    int call(String target) throws IOException {
        return exchange("GET " + target + " HTTP/1.1\r\nhost: bench\r\n\r\n").status();
    }

    /**
     * Sends a request and reads its answer.
     *
     * @param request the whole request
     * @return the answer; the connection is usable again if {@link Response#keepsConnection} says so
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
     * An answer.
     *
     * @param status its status
     * @param headers its header fields, with names in lower case
     * @param body its body, which is shorter than announced if the connection ended early
     */
    public record Response(int status, Map<String, String> headers, String body) {
        /** True when the body has the announced length. */
        public boolean complete() {
            return body.length() == Integer.parseInt(headers.getOrDefault("content-length", "-1"));
        }

        /** True when the host keeps the connection. */
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
