import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Clients that send requests at a constant rate, each on a connection of its own, and record what they get. */
final class Load {
    /** One client attempt: when it was sent, and when its answer was complete; 0 if it never was. */
    static final class Attempt {
        final String id;
        final String path;
        final Edge host;
        final long sentNanos = System.nanoTime();
        volatile long answeredNanos;
        volatile String result = "none";

        Attempt(String id, String path, Edge host) {
            this.id = id;
            this.path = path;
            this.host = host;
        }

        long millis() {
            return ((answeredNanos == 0 ? System.nanoTime() : answeredNanos) - sentNanos) / 1_000_000;
        }
    }

    private static final AtomicInteger NUMBER = new AtomicInteger();
    final List<Attempt> attempts = new ArrayList<>();
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final Journal journal;

    Load(Journal journal) {
        this.journal = journal;
    }

    /** Starts to send; each host gets the requests in turn. */
    void start(String method, String path, String body, double perSecond, List<Edge> hosts, int waitMillis) {
        Threads.start("load", () -> {
            long next = System.nanoTime();
            for (int i = 0; running.get(); i++) {
                next += (long) (1e9 / perSecond);
                Edge host = hosts.get(i % hosts.size());
                send(method, path, body, host, waitMillis);
                Threads.sleep((next - System.nanoTime()) / 1_000_000);
            }
        });
    }

    /** Sends one request, whose answer is awaited elsewhere. */
    Attempt send(String method, String path, String body, Edge host, int waitMillis) {
        String id = String.format("%016x", NUMBER.incrementAndGet());
        Attempt attempt = new Attempt(id, path, host);
        synchronized (attempts) {
            attempts.add(attempt);
        }
        journal.add("sent id=" + id + " " + method + " " + path + " host=" + host.name);
        Threads.start("client", () -> {
            String fields = "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n";
            try {
                attempt.result = Integer.toString(
                        new Client(host.ip, host.front, waitMillis).send(method, path, fields, body).status());
                attempt.answeredNanos = System.nanoTime();
            } catch (IOException e) {
                attempt.result = e.getClass().getSimpleName();
            }
            journal.add("answered id=" + id + " result=" + attempt.result + " ms=" + attempt.millis());
        });
        return attempt;
    }

    void stop() {
        running.set(false);
    }

    List<Attempt> all() {
        synchronized (attempts) {
            return List.copyOf(attempts);
        }
    }

    /** Waits until something holds; returns whether it did. */
    static boolean await(Supplier<Boolean> condition, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (condition.get()) {
                return true;
            }
            Threads.sleep(50);
        }
        return condition.get();
    }

    static Map<String, Integer> results(List<Attempt> attempts) {
        Map<String, Integer> counts = new ConcurrentHashMap<>();
        attempts.forEach(attempt -> counts.merge(attempt.result, 1, Integer::sum));
        return counts;
    }
}
