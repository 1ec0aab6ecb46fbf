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
import org.arbutusfield.http.Body;

/** A blocking caller that sends any bytes and reads answers strictly. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

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

    /** An answer as the caller sees it; {@code whole} is false if the connection broke before its end. */
    record Answer(int status, Map<String, String> headers, Body content, boolean whole) {
        static final Answer NONE = new Answer(0, Map.of(), Body.empty(), false);

        String text() {
            return content.text();
        }

        byte[] body() {
            return content.bytes();
        }

        String header(String name) {
            return headers.get(name);
        }

        boolean saysNotRun() {
            return text().contains("\"notRun\":true");
        }

        boolean saysUnknown() {
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

    Answer call(String text) {
        return send(text).read(false);
    }

    Answer read(boolean head) {
        try {
            String statusLine = line();
            int status = Integer.parseInt(statusLine.substring(9, 12));
            Map<String, String> headers = headers();
            if (status == 100) {
                return new Answer(status, headers, Body.empty(), true);
            }
            return body(status, headers, head);
        } catch (IOException e) {
            return Answer.NONE;
        }
    }

    /** True when the connection ends without a further byte. */
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

    void hangUp() {
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

    private Answer body(int status, Map<String, String> headers, boolean head) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        boolean whole;
        try {
            if (head || status == 204 || status == 304) {
                whole = true;
            } else if (headers.containsKey("transfer-encoding")) {
                whole = chunks(out);
            } else if (headers.containsKey("content-length")) {
                copy(out, Long.parseLong(headers.get("content-length")));
                whole = true;
            } else {
                in.transferTo(out);
                whole = true;
            }
        } catch (IOException e) {
            whole = false;
        }
        return new Answer(status, headers, Body.of(out.toByteArray()), whole);
    }

    private boolean chunks(ByteArrayOutputStream out) throws IOException {
        while (true) {
            int size = Integer.parseInt(line(), 16);
            copy(out, size);
            line();
            if (size == 0) {
                return true;
            }
        }
    }

    private void copy(ByteArrayOutputStream out, long count) throws IOException {
        long left = count;
        byte[] buffer = new byte[64 << 10];
        while (left > 0) {
            int got = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (got < 0) {
                throw new EOFException();
            }
            out.write(buffer, 0, got);
            left -= got;
        }
    }

    private Map<String, String> headers() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String line = line();
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = line();
        }
        return headers;
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
