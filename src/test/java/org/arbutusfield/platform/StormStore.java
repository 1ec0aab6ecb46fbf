package org.arbutusfield.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A store whose configuration changes many times at once: a listing has the first version, the first watch all the
 * others, and a listing after that the last. Holds one version in memory, whatever their number.
 */
final class StormStore implements AutoCloseable {
    /** A multiple of three bytes, so that the text of the whole is that of the parts. */
    private static final String VERSION = "{\"version\":\"r%08d\",    ";

    private static final int UPSTREAM_BYTES = 300;

    private final ServerSocket server;
    private final int versions;
    private final byte[] restText;
    private final AtomicInteger lists = new AtomicInteger();
    private volatile boolean stormBegan;

    private StormStore(ServerSocket server, int versions, byte[] restText) {
        this.server = server;
        this.versions = versions;
        this.restText = restText;
    }

    /**
     * Starts the store.
     *
     * @param versions number of versions that come at once
     * @param valueBytes length of each, in bytes
     */
    static StormStore start(int versions, int valueBytes) throws IOException {
        byte[] rest = rest(valueBytes - VERSION.formatted(0).length());
        StormStore store = new StormStore(
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                versions,
                Base64.getEncoder().encode(rest));
        Thread thread = new Thread(store::accept, "storm-store");
        thread.setDaemon(true);
        thread.start();
        return store;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int lists() {
        return lists.get();
    }

    /** The version that a host must have in the end. */
    int lastVersion() {
        return versions + 1;
    }

    /** A configuration without its version: as many routes as fit, then blanks. */
    private static byte[] rest(int bytes) {
        StringBuilder json = new StringBuilder("\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
                + "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"upstreams\":[],"
                + "\"listeners\":[{\"host\":\"h\",\"policy\":[");
        String end = "]}]}";
        for (int i = 0; ; i++) {
            String rule = (i == 0 ? "" : ",") + "{\"name\":\"r-" + i + "\",\"match\":{\"prefix\":\"/idle-" + i
                    + "/\"},\"route_type\":\"idempotent\",\"target_latency\":\"200ms\",\"priority\":1,"
                    + "\"action\":{\"service\":\"s\",\"timeout\":\"1500ms\",\"attempts\":3}}";
            if (json.length() + rule.length() + end.length() > bytes) {
                break;
            }
            json.append(rule);
        }
        byte[] rest = new byte[bytes];
        Arrays.fill(rest, (byte) ' ');
        byte[] text = json.append(end).toString().getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(text, 0, rest, 0, text.length);
        return rest;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "storm-store-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String request = in.readLine(); request != null; request = in.readLine()) {
                skipFields(in);
                answer(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The host has closed the connection, or the test is over.
        }
    }

    private static void skipFields(BufferedReader in) throws IOException {
        String field = in.readLine();
        while (field != null && !field.isEmpty()) {
            field = in.readLine();
        }
    }

    private void answer(String request, OutputStream out) throws IOException {
        if (request.contains("/kv-range")) {
            lists.incrementAndGet();
            int version = stormBegan ? lastVersion() : 1;
            send(out, "{\"items\":[", version, version, "],\"has_more\":false,\"at\":" + version + "}");
        } else if (request.contains("after=" + lastVersion() + "&")) {
            sleep(2_000);
            send(out, "{\"events\":[", 1, 0, "],\"at\":" + lastVersion() + "}");
        } else {
            stormBegan = true;
            send(out, "{\"events\":[", 2, lastVersion(), "],\"at\":" + lastVersion() + "}");
        }
    }

    /** Sends items with the versions from the first to the last, and one of an upstream behind each. */
    private void send(OutputStream out, String start, int first, int last, String end) throws IOException {
        write(out, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        chunk(out, start);
        for (int version = first; version <= last; version++) {
            String head = Base64.getEncoder()
                    .encodeToString(VERSION.formatted(version).getBytes(StandardCharsets.US_ASCII));
            chunk(out, "{\"key\":\"op/config\",\"revision\":" + version + ",\"value\":\"" + head);
            write(out, Integer.toHexString(restText.length) + "\r\n");
            out.write(restText);
            write(out, "\r\n");
            chunk(
                    out,
                    "\"},{\"key\":\"servers/" + version + "\",\"revision\":" + version + ",\"value\":\""
                            + "eHh4".repeat(UPSTREAM_BYTES / 3) + "\"}" + (version < last ? "," : ""));
        }
        chunk(out, end);
        write(out, "0\r\n\r\n");
        out.flush();
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
