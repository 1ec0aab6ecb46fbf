import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server of one service. */
final class Upstream {
    /** Answers a request on its connection; returns false if the connection is to be closed. */
    interface Answering {
        boolean answer(Upstream server, Http.Message request, Socket socket) throws IOException;
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long bornMillis = System.currentTimeMillis();
    final AtomicInteger sequence = new AtomicInteger(1);
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Answering answering;
    private final Journal journal;
    volatile boolean ended;

    Upstream(String id, String service, String zone, int slots, Answering answering, Journal journal)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.answering = answering;
        this.journal = journal;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.2"), 0), 512);
        Threads.start(id, this::accept);
    }

    String address() {
        return "127.0.0.2:" + listener.getLocalPort();
    }

    /** The entry in the store. */
    String entry(String state) {
        return "{\"born\":" + bornMillis + ",\"address\":\"" + address() + "\",\"details\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots + "},\"status\":{\"state\":\""
                + state + "\",\"sequence\":" + sequence.getAndIncrement() + ",\"cold_remaining\":\"0ms\"}}";
    }

    /** Ends as a process does: its connections are closed. */
    void end() {
        ended = true;
        try {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Threads.start(id + "-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                String requestId = request.field("x-request-id");
                String expected = request.field("x-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    respond(socket, request, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
                    continue;
                }
                journal.add("run server=" + id + " id=" + requestId + " " + request.word(0) + " " + request.word(1));
                if (!answering.answer(this, request, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The host has closed the connection, or this server has ended.
        } finally {
            open.remove(socket);
        }
    }

    /** Works for a time, then answers with success. */
    static Answering after(long workMillis, int bodyBytes) {
        return (server, request, socket) -> {
            Threads.sleep(workMillis);
            respond(socket, request, "200 OK", "X-Server-Seal: s." + server.id + "\r\n", "x".repeat(bodyBytes));
            return true;
        };
    }

    static void respond(Socket socket, Http.Message request, String status, String fields, String body)
            throws IOException {
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.field("x-request-id") + "\r\n" + fields
                + "Content-Length: " + body.length() + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
