package org.arbutusfield.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.timer.TimerService;

/**
 * Sends requests at a fixed rate and counts the outcome of each. If a host cannot be reached, the request goes to the
 * next host of the look-up result; a request is not retried for any other reason.
 */
public final class LoadGenerator {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration LOOKUP_INTERVAL = Duration.ofSeconds(1);
    private static final int DOWNLOAD_BYTES = 200_000;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final LoadPlan plan;
    private final HttpClient client;
    private final TimerService timer;
    private final SplittableRandom random;
    private final HostSelector hostSelector;
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong whole = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unknown = new AtomicLong();
    private final AtomicLong cutShort = new AtomicLong();
    private final AtomicLong wrong = new AtomicLong();
    private final AtomicLong unreachable = new AtomicLong();
    private final Histogram latency = new SynchronizedHistogram(MAX_LATENCY_MICROS, 3);

    private LoadGenerator(LoadPlan plan, HttpClient client, TimerService timer) {
        this.plan = plan;
        this.client = client;
        this.timer = timer;
        this.random = new SplittableRandom(plan.seed());
        this.hostSelector = HostSelector.create(client, plan, random.split());
    }

    /** Creates a generator; nothing is sent before {@link #start}. */
    public static LoadGenerator create(LoadPlan plan, HttpClient client, TimerService timer) {
        return new LoadGenerator(plan, client, timer);
    }

    /** Starts sending, which ends by itself after the plan's duration. */
    public void start() {
        hostSelector.refresh();
        TimerService.ScheduledTask lookups = timer.every(LOOKUP_INTERVAL, hostSelector::refresh);
        TimerService.ScheduledTask sending = timer.every(
                Duration.ofNanos(Duration.ofSeconds(1).toNanos() / plan.requestsPerSecond()), this::sendOne);
        timer.after(plan.duration(), () -> {
            sending.cancel();
            lookups.cancel();
        });
    }

    /** True if every request sent has an outcome. */
    public boolean finished() {
        return report().total() == sent.get();
    }

    /** Returns the outcomes so far. */
    public LoadReport report() {
        return new LoadReport(
                whole.get(),
                refused.get(),
                unknown.get(),
                cutShort.get(),
                wrong.get(),
                unreachable.get(),
                latency.copy());
    }

    private void sendOne() {
        long number = sent.incrementAndGet();
        int kind = random.nextInt(10);
        if (kind < 3) {
            String key = "key-" + plan.seed() + "-" + number;
            SimpleHttpRequest request = SimpleHttpRequest.of(
                            "POST",
                            target(plan.nonRepeatablePath() + "/" + number),
                            key.getBytes(StandardCharsets.UTF_8))
                    .withHeaders(Header.of("idempotency-key", key));
            send(request, plan.nonRepeatablePath() + "/" + number + "\n" + key);
        } else if (kind < 9) {
            send(
                    SimpleHttpRequest.of("GET", target(plan.repeatablePath() + "/" + number)),
                    plan.repeatablePath() + "/" + number + "\n");
        } else {
            send(SimpleHttpRequest.of("GET", target(plan.downloadPath() + "/" + DOWNLOAD_BYTES)), "");
        }
    }

    private String target(String path) {
        return "/" + plan.service() + path;
    }

    private void send(SimpleHttpRequest request, String expectedEnding) {
        send(request, expectedEnding, hostSelector.hostsToTry(), 0, timer.nowNanos());
    }

    private void send(
            SimpleHttpRequest request,
            String expectedEnding,
            List<InetSocketAddress> order,
            int index,
            long startNanos) {
        if (index == order.size()) {
            unreachable.incrementAndGet();
            return;
        }
        client.call(order.get(index), request, REQUEST_TIMEOUT).thenAccept(result -> {
            if (result.isRight()) {
                classify(result.get(), expectedEnding, startNanos);
            } else if (result.getLeft().code() == ErrorCode.PEER_UNREACHABLE) {
                send(request, expectedEnding, order, index + 1, startNanos);
            } else {
                cutShort.incrementAndGet();
            }
        });
    }

    private void classify(SimpleHttpResponse response, String expectedEnding, long startNanos) {
        if (response.status() == 200) {
            boolean correct = expectedEnding.isEmpty()
                    ? response.body().length() == DOWNLOAD_BYTES
                    : response.text().endsWith(expectedEnding);
            (correct ? whole : wrong).incrementAndGet();
            latency.recordValue(Math.min(MAX_LATENCY_MICROS, (timer.nowNanos() - startNanos) / NANOS_PER_MICRO));
            return;
        }
        (saysNotRun(response) ? refused : unknown).incrementAndGet();
    }

    private static boolean saysNotRun(SimpleHttpResponse response) {
        try {
            JsonNode problem = JSON.readTree(response.body().bytes());
            return problem.path("notRun").asBoolean(false);
        } catch (IOException e) {
            return false;
        }
    }
}
