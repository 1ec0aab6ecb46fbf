import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A small reader of HTTP/1.1 messages, for all stand-ins. */
final class Http {
    private Http() {}

    /** One message: its first line, its fields by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.get(name);
        }

        String word(int index) {
            String[] words = firstLine.split(" ", 3);
            return index < words.length ? words[index] : "";
        }
    }

    /** Reads a request with its whole body; null at the end of the input. */
    static Message readRequest(BufferedInputStream in) throws IOException {
        return read(in, false);
    }

    /** Reads a response with its whole body; an input that ends early throws. */
    static Message readResponse(BufferedInputStream in) throws IOException {
        while (true) {
            Message message = read(in, true);
            if (message == null) {
                throw new EOFException("closed without a response");
            }
            if (!message.word(1).startsWith("1")) {
                return message;
            }
        }
    }

    private static Message read(BufferedInputStream in, boolean response) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("head broke off");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        boolean interim = response && first.split(" ")[1].startsWith("1");
        if (interim) {
            return new Message(first, fields, new byte[0]);
        }
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            return new Message(first, fields, chunks(in));
        }
        if (fields.containsKey("content-length")) {
            return new Message(first, fields, exactly(in, Integer.parseInt(fields.get("content-length"))));
        }
        return new Message(first, fields, response ? in.readAllBytes() : new byte[0]);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("chunks broke off");
            }
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            body.write(exactly(in, bytes));
            if (bytes == 0) {
                for (String trailer = line(in); trailer != null && !trailer.isEmpty(); trailer = line(in)) {}
                return body.toByteArray();
            }
            line(in);
        }
    }

    static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new EOFException("body broke off after " + read.length + " of " + bytes);
        }
        return read;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new EOFException("line broke off");
        }
        return null;
    }
}
