package org.arbutusfield.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.lab.proxy.BlockingCaller;
import org.arbutusfield.lab.proxy.BlockingCaller.Response;

/** Sends one and the same request, which ends each upstream that runs it, to any host, again and again. */
final class CrashingCaller {
    private static final Logger LOG = LogManager.getLogger(CrashingCaller.class);
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(400, 408, 421, 429, 503);
    private static final long PAUSE_MILLIS = 150;

    private final List<SoakHost> hosts;
    private final SoakChecker checker;
    private final Random random;
    private int requests;

    private CrashingCaller(List<SoakHost> hosts, SoakChecker checker, Random random) {
        this.hosts = hosts;
        this.checker = checker;
        this.random = random;
    }

    static CrashingCaller of(List<SoakHost> hosts, SoakChecker checker, Random random) {
        return new CrashingCaller(hosts, checker, random);
    }

    /** Sends until a monotonic time. */
    void sendUntil(long endNanos) throws InterruptedException {
        while (System.nanoTime() < endNanos) {
            send(hosts.get(random.nextInt(hosts.size())));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    private void send(SoakHost host) {
        requests++;
        String id = "crash-" + requests;
        String request = "GET " + SoakRoutes.CRASHING_PREFIX + "always HTTP/1.1\r\nHost: soak.example\r\n"
                + "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\nX-Affinity-Key: 1\r\nConnection: close\r\n\r\n";
        checker.recordSent(new SoakChecker.SentRequest(id, host.name(), true, System.nanoTime()));
        try (BlockingCaller connection = BlockingCaller.connect(host.callerAddress())) {
            Response response = connection.exchange(request);
            if (NOT_RUN_STATUSES.contains(response.status())) {
                checker.recordRefused(id, "status " + response.status() + " of " + host.name());
            }
        } catch (IOException e) {
            // Expected while the host is away.
            LOG.debug("event=crashing_request_unanswered id={} host={}", id, host.name(), e);
        }
    }
}
