import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound client: one request on each connection. */
final class Client {
    record Response(int status, Http.Message message) {}

    private final String ip;
    private final int port;
    private final int timeoutMillis;

    Client(String ip, int port, int timeoutMillis) {
        this.ip = ip;
        this.port = port;
        this.timeoutMillis = timeoutMillis;
    }

    Response get(String path, String fields) throws IOException {
        return send("GET", path, fields, "");
    }

    Response send(String method, String path, String fields, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), Math.min(1000, timeoutMillis));
            socket.setSoTimeout(timeoutMillis);
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            String head = method + " " + path + " HTTP/1.1\r\nHost: app.example\r\n" + fields + length + "\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            Http.Message message = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            return new Response(Integer.parseInt(message.word(1)), message);
        }
    }
}
