package org.arbutusfield.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.lab.proxy.BlockingCaller;
import org.arbutusfield.lab.proxy.BlockingCaller.Response;
import org.arbutusfield.lab.soak.Violation.Guarantee;

/**
 * A caller that sends one request after the other and reuses its connection until the host closes it. At random, it
 * also reconnects by itself.
 */
final class SoakCaller implements Runnable {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int DEADLINE_MILLIS = 2000;
    private static final String REQUEST_BODY = "book";
    private static final int MAX_PAUSE_MILLIS = 60;
    private static final int AFFINITY_KEYS = 12;
    private static final int MEAN_REQUESTS_PER_CONNECTION = 60;
    /** If a connection ends sooner than this after a request was sent, the two may have crossed on the way. */
    private static final long CLOSE_RACE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** For this long after a host first served a version of the routes, it may still serve the one before. */
    private static final long ROLLBACK_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final int number;
    private final List<SoakHost> hosts;
    private final SoakChecker checker;
    private final SoakRoutes routes;
    private final SoakCounters counters;
    private final Random random;
    /**
     * When a host process first served a version of the routes, by {@code HOST/START/VERSION}; shared by all callers.
     */
    private final Map<String, Long> firstServedNanos;

    private volatile boolean stopping;
    private BlockingCaller connection;
    private SoakHost host;
    private int requests;

    private SoakCaller(int number, SharedState shared, long seed) {
        this.number = number;
        this.hosts = shared.hosts();
        this.checker = shared.checker();
        this.routes = shared.routes();
        this.counters = shared.counters();
        this.firstServedNanos = shared.firstServedNanos();
        this.random = new Random(seed * 1000 + number);
    }

    /** State that all callers share. */
    record SharedState(
            List<SoakHost> hosts,
            SoakChecker checker,
            SoakRoutes routes,
            SoakCounters counters,
            ConcurrentHashMap<String, Long> firstServedNanos) {}

    static SoakCaller of(int number, SharedState shared, long seed) {
        return new SoakCaller(number, shared, seed);
    }

    void stop() {
        stopping = true;
    }

    @Override
    public void run() {
        while (!stopping) {
            try {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
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
        if (connection == null || random.nextInt(MEAN_REQUESTS_PER_CONNECTION) == 0) {
            disconnect();
            host = hosts.get(random.nextInt(hosts.size()));
            connection = BlockingCaller.connect(host.callerAddress());
        }
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            counters.recordCloseFailure();
        }
        connection = null;
    }

    private void request() throws IOException {
        boolean repeatable = random.nextInt(3) > 0;
        int version = routes.version();
        int hostStart = host.starts();
        requests++;
        String id = "c" + number + "-" + requests;
        String target = "/v" + version + (repeatable ? "/look/" : "/book/") + id;
        long sentNanos = System.nanoTime();
        checker.recordSent(new SoakChecker.SentRequest(id, host.name(), repeatable, sentNanos));
        counters.recordSent();
        try {
            Response answer = connection.exchange(requestText(repeatable, target, id));
            checkAnswer(id, answer);
            checkVersion(id, answer.status(), version, hostStart, sentNanos);
            if (!answer.keepsConnection()) {
                disconnect();
            }
        } catch (IOException e) {
            long elapsedNanos = System.nanoTime() - sentNanos;
            if (elapsedNanos > CLOSE_RACE_NANOS && checker.undisturbedSince(host.name(), sentNanos)) {
                checker.recordViolation(
                        Guarantee.GRACEFUL_STOP,
                        id,
                        host.name() + " closed after " + TimeUnit.NANOSECONDS.toMillis(elapsedNanos) + " ms");
            }
            throw e;
        }
    }

    private String requestText(boolean repeatable, String target, String id) {
        String head = (repeatable ? "GET " : "POST ") + target + " HTTP/1.1\r\n"
                + "Host: soak.example\r\n"
                + "X-Request-Id: " + id + "\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n"
                + "X-Affinity-Key: " + random.nextInt(AFFINITY_KEYS) + "\r\n";
        return repeatable
                ? head + "\r\n"
                : head + "Content-Length: " + REQUEST_BODY.length() + "\r\n\r\n" + REQUEST_BODY;
    }

    private void checkAnswer(String id, Response answer) {
        boolean hasSeal = answer.headers().containsKey("x-server-seal");
        if (answer.status() == OK) {
            counters.recordServed();
            boolean matchesRequest = answer.complete()
                    && answer.body().equals(SoakChecker.responseBody(id))
                    && id.equals(answer.headers().get("x-request-id"));
            if (!matchesRequest || !hasSeal) {
                checker.recordViolation(
                        Guarantee.WHOLE_ANSWER,
                        id,
                        "seal=" + hasSeal + " body=" + answer.body().length());
            }
        } else if (NOT_RUN_STATUSES.contains(answer.status()) && !hasSeal) {
            checker.recordRefused(id, "status " + answer.status() + " of " + host.name());
        }
    }

    private void checkVersion(String id, int status, int version, int hostStart, long sentNanos) {
        String key = host.name() + "/" + hostStart + "/" + version;
        if (status == OK) {
            firstServedNanos.putIfAbsent(key, System.nanoTime());
            return;
        }
        boolean unexpectedNotFound = status == NOT_FOUND && routes.version() <= version + 1;
        if (!unexpectedNotFound || host.starts() != hostStart) {
            return;
        }
        long servedNanos = firstServedNanos.getOrDefault(key, sentNanos);
        if (sentNanos - servedNanos > ROLLBACK_TOLERANCE_NANOS) {
            checker.recordViolation(Guarantee.ROUTES_IN_FORCE, id, key + " served before");
        } else if (routes.mustBeInForce(version, sentNanos) && checker.undisturbedSince(host.name(), sentNanos)) {
            checker.recordViolation(Guarantee.ROUTES_IN_FORCE, id, key + " not in force in time");
        }
    }
}
