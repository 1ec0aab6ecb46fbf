import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was sent, answered and run, with milliseconds since the start. */
final class Journal {
    private final long startNanos = System.nanoTime();
    private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();

    void add(String line) {
        lines.add(String.format("%9.1f %s", (System.nanoTime() - startNanos) / 1e6, line));
    }

    /** Adds a line and prints it. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    void write(Path file) throws IOException {
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
            lines.forEach(out::println);
        }
    }
}
