package org.arbutusfield.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.lab.proxy.BlockingCaller;
import org.arbutusfield.lab.proxy.BlockingCaller.Answer;
import org.arbutusfield.lab.soak.Violation.Promise;

/** A caller that sends one request after the other and keeps its connection until the host ends it. */
final class SoakCaller implements Runnable {
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int DEADLINE_MILLIS = 2000;
    private static final String BOOKING = "book";
    private static final int PAUSE_MILLIS = 60;
    private static final int OBJECTS = 12;
    private static final int STAY_MOST = 60;
    /** A connection that ends sooner after a request may have crossed it. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** A host that showed a version may show the one before for so long. */
    private static final long BACK_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final int number;
    private final List<SoakHost> hosts;
    private final SoakLedger ledger;
    private final SoakRoutes routes;
    private final SoakTally tally;
    private final Random random;
    /** When a start of a host first showed a version, by {@code HOST/START/VERSION}; shared by all callers. */
    private final Map<String, Long> shownNanos;

    private volatile boolean ending;
    private BlockingCaller connection;
    private SoakHost host;
    private int requests;

    private SoakCaller(int number, SoakRun run, long seed) {
        this.number = number;
        this.hosts = run.hosts();
        this.ledger = run.ledger();
        this.routes = run.routes();
        this.tally = run.tally();
        this.shownNanos = run.shownNanos();
        this.random = new Random(seed * 1000 + number);
    }

    /** What all callers share. */
    record SoakRun(
            List<SoakHost> hosts,
            SoakLedger ledger,
            SoakRoutes routes,
            SoakTally tally,
            ConcurrentHashMap<String, Long> shownNanos) {}

    static SoakCaller of(int number, SoakRun run, long seed) {
        return new SoakCaller(number, run, seed);
    }

    void end() {
        ending = true;
    }

    @Override
    public void run() {
        while (!ending) {
            try {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MILLIS));
                connect();
                request();
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                disconnect();
            }
        }
        disconnect();
    }

    private void connect() throws IOException {
        if (connection == null || random.nextInt(STAY_MOST) == 0) {
            disconnect();
            host = hosts.get(random.nextInt(hosts.size()));
            connection = BlockingCaller.connect(host.callers());
        }
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            tally.closeFailed();
        }
        connection = null;
    }

    private void request() throws IOException {
        boolean repeatable = random.nextInt(3) > 0;
        int version = routes.version();
        int start = host.starts();
        requests++;
        String id = "c" + number + "-" + requests;
        String target = "/v" + version + (repeatable ? "/look/" : "/book/") + id;
        long sentNanos = System.nanoTime();
        ledger.sending(new SoakLedger.Sent(id, host.name(), repeatable, sentNanos));
        tally.sent();
        try {
            Answer answer = connection.exchange(requestText(repeatable, target, id));
            judge(id, answer);
            judgeVersion(id, answer.status(), version, start, sentNanos);
            if (!answer.keepsConnection()) {
                disconnect();
            }
        } catch (IOException e) {
            long after = System.nanoTime() - sentNanos;
            if (after > CROSSING_NANOS && ledger.calmBut(host.name(), sentNanos)) {
                ledger.broken(
                        Promise.GRACEFUL_STOP,
                        id,
                        host.name() + " closed after " + TimeUnit.NANOSECONDS.toMillis(after) + " ms");
            }
            throw e;
        }
    }

    private String requestText(boolean repeatable, String target, String id) {
        String head = (repeatable ? "GET " : "POST ") + target + " HTTP/1.1\r\n"
                + "Host: soak.example\r\n"
                + "X-Request-Id: " + id + "\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n"
                + "X-Affinity-Key: " + random.nextInt(OBJECTS) + "\r\n";
        return repeatable ? head + "\r\n" : head + "Content-Length: " + BOOKING.length() + "\r\n\r\n" + BOOKING;
    }

    private void judge(String id, Answer answer) {
        boolean proved = answer.headers().containsKey("x-server-seal");
        if (answer.status() == OK) {
            tally.served();
            boolean own = answer.whole()
                    && answer.body().equals(SoakLedger.answerBody(id))
                    && id.equals(answer.headers().get("x-request-id"));
            if (!own || !proved) {
                ledger.broken(
                        Promise.WHOLE_ANSWER,
                        id,
                        "proved=" + proved + " body=" + answer.body().length());
            }
        } else if (NOT_RUN.contains(answer.status()) && !proved) {
            ledger.refused(id, "status " + answer.status() + " of " + host.name());
        }
    }

    private void judgeVersion(String id, int status, int version, int start, long sentNanos) {
        String key = host.name() + "/" + start + "/" + version;
        if (status == OK) {
            shownNanos.putIfAbsent(key, System.nanoTime());
            return;
        }
        boolean stillThere = status == NOT_FOUND && routes.version() <= version + 1;
        if (!stillThere || host.starts() != start) {
            return;
        }
        long shown = shownNanos.getOrDefault(key, sentNanos);
        if (sentNanos - shown > BACK_SLACK_NANOS) {
            ledger.broken(Promise.ROUTES_IN_FORCE, id, key + " shown before");
        } else if (routes.inForce(version, sentNanos) && ledger.calmBut(host.name(), sentNanos)) {
            ledger.broken(Promise.ROUTES_IN_FORCE, id, key + " not in force in time");
        }
    }
}
