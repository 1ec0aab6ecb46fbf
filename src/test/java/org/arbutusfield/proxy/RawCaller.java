package org.arbutusfield.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusfield.http.Body;

/** A blocking HTTP client that sends arbitrary bytes and parses responses strictly. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([1-5][0-9]{2})( .*)?");

    private final Socket socket;
    private final InputStream in;

    private RawCaller(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream());
    }

    static RawCaller connect(InetSocketAddress address) {
        return connect(address, 0);
    }

    static RawCaller connect(InetSocketAddress address, int receiveBufferBytes) {
        try {
            Socket socket = new Socket();
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.setTcpNoDelay(true);
            socket.connect(address, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            return new RawCaller(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A response as the caller receives it; {@code complete} is false if the connection broke before its end. */
    record Response(int status, Map<String, String> headers, Body content, boolean complete) {
        static final Response NONE = new Response(0, Map.of(), Body.empty(), false);

        String text() {
            return content.text();
        }

        byte[] body() {
            return content.bytes();
        }

        String header(String name) {
            return headers.get(name);
        }

        boolean statesNotRun() {
            return text().contains("\"notRun\":true");
        }

        boolean statesUnknown() {
            return text().contains("\"notRun\":false");
        }

        String code() {
            return headers.getOrDefault("x-error-code", "");
        }
    }

    RawCaller send(String text) {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    RawCaller send(byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Response call(String text) {
        return send(text).read(false);
    }

    Response read(boolean head) {
        try {
            String line = readLine();
            Matcher statusLine = STATUS_LINE.matcher(line);
            if (!statusLine.matches()) {
                throw new AssertionError("not a status line: " + line);
            }
            int status = Integer.parseInt(statusLine.group(1));
            Map<String, String> headers = readHeaders();
            if (status == 100) {
                return new Response(status, headers, Body.empty(), true);
            }
            return body(status, headers, head);
        } catch (IOException e) {
            return Response.NONE;
        }
    }

    /** True if the connection is closed and no further byte arrives. */
    boolean closedByPeer() {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    InputStream in() {
        return in;
    }

    void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void disconnect() {
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Response body(int status, Map<String, String> headers, boolean head) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        boolean complete;
        try {
            if (head || status == 204 || status == 304) {
                complete = true;
            } else if (headers.containsKey("transfer-encoding")) {
                complete = readChunks(out);
            } else if (headers.containsKey("content-length")) {
                copy(out, Long.parseLong(headers.get("content-length")));
                complete = true;
            } else {
                in.transferTo(out);
                complete = true;
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Response(status, headers, Body.of(out.toByteArray()), complete);
    }

    private boolean readChunks(ByteArrayOutputStream out) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(), 16);
            copy(out, size);
            readLine();
            if (size == 0) {
                return true;
            }
        }
    }

    private void copy(ByteArrayOutputStream out, long count) throws IOException {
        long remaining = count;
        byte[] buffer = new byte[64 << 10];
        while (remaining > 0) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
            if (read < 0) {
                throw new EOFException();
            }
            out.write(buffer, 0, read);
            remaining -= read;
        }
    }

    private Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String line = readLine();
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine();
        }
        return headers;
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
