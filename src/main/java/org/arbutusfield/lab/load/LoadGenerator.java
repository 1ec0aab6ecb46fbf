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
 * Sends requests at a fixed rate and accounts for each. A host that cannot be reached is passed over for the next one
 * of the look-up answer; nothing else is sent again.
 */
public final class LoadGenerator {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration LOOKUP_INTERVAL = Duration.ofSeconds(1);
    private static final int DOWNLOAD_BYTES = 200_000;
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final long MICRO = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final LoadPlan plan;
    private final HttpClient caller;
    private final TimerService timer;
    private final SplittableRandom random;
    private final HostChoice hosts;
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong whole = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unknown = new AtomicLong();
    private final AtomicLong cutShort = new AtomicLong();
    private final AtomicLong wrong = new AtomicLong();
    private final AtomicLong unreachable = new AtomicLong();
    private final Histogram latency = new SynchronizedHistogram(HIGHEST_MICROS, 3);

    private LoadGenerator(LoadPlan plan, HttpClient caller, TimerService timer) {
        this.plan = plan;
        this.caller = caller;
        this.timer = timer;
        this.random = new SplittableRandom(plan.seed());
        this.hosts = HostChoice.create(caller, plan, random.split());
    }

    /** A generator; nothing is sent before {@link #start}. */
    public static LoadGenerator create(LoadPlan plan, HttpClient caller, TimerService timer) {
        return new LoadGenerator(plan, caller, timer);
    }

    /** Starts to send; sending ends by itself after the plan's length. */
    public void start() {
        hosts.refresh();
        TimerService.ScheduledTask lookups = timer.every(LOOKUP_INTERVAL, hosts::refresh);
        TimerService.ScheduledTask sending =
                timer.every(Duration.ofNanos(Duration.ofSeconds(1).toNanos() / plan.perSecond()), this::sendOne);
        timer.after(plan.length(), () -> {
            sending.cancel();
            lookups.cancel();
        });
    }

    /** True when every request sent was accounted for. */
    public boolean settled() {
        return report().total() == sent.get();
    }

    /** The accounts so far. */
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
            SimpleHttpRequest call = SimpleHttpRequest.of(
                            "POST", target(plan.bookingPath() + "/" + number), key.getBytes(StandardCharsets.UTF_8))
                    .withHeaders(Header.of("idempotency-key", key));
            send(call, plan.bookingPath() + "/" + number + "\n" + key);
        } else if (kind < 9) {
            send(
                    SimpleHttpRequest.of("GET", target(plan.queryPath() + "/" + number)),
                    plan.queryPath() + "/" + number + "\n");
        } else {
            send(SimpleHttpRequest.of("GET", target(plan.downloadPath() + "/" + DOWNLOAD_BYTES)), "");
        }
    }

    private String target(String path) {
        return "/" + plan.service() + path;
    }

    private void send(SimpleHttpRequest call, String ending) {
        send(call, ending, hosts.order(), 0, timer.nowNanos());
    }

    private void send(
            SimpleHttpRequest call, String ending, List<InetSocketAddress> order, int index, long startNanos) {
        if (index == order.size()) {
            unreachable.incrementAndGet();
            return;
        }
        caller.call(order.get(index), call, REQUEST_TIMEOUT).thenAccept(result -> {
            if (result.isRight()) {
                account(result.get(), ending, startNanos);
            } else if (result.getLeft().code() == ErrorCode.PEER_UNREACHABLE) {
                send(call, ending, order, index + 1, startNanos);
            } else {
                cutShort.incrementAndGet();
            }
        });
    }

    private void account(SimpleHttpResponse answer, String ending, long startNanos) {
        if (answer.status() == 200) {
            boolean right = ending.isEmpty()
                    ? answer.body().length() == DOWNLOAD_BYTES
                    : answer.text().endsWith(ending);
            (right ? whole : wrong).incrementAndGet();
            latency.recordValue(Math.min(HIGHEST_MICROS, (timer.nowNanos() - startNanos) / MICRO));
            return;
        }
        (saysNotRun(answer) ? refused : unknown).incrementAndGet();
    }

    private static boolean saysNotRun(SimpleHttpResponse answer) {
        try {
            JsonNode problem = JSON.readTree(answer.body().bytes());
            return problem.path("notRun").asBoolean(false);
        } catch (IOException e) {
            return false;
        }
    }
}
