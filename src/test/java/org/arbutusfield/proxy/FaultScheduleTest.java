package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Answer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Callers at once over servers that fail at random: the history must hold. A failure names the seed and the request;
 * which fault a request meets depends on the order in which requests arrive, so a seed fixes the mix, not each step.
 */
class FaultScheduleTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS = 120;
    private static final Fault[] FAULTS = {
        Fault.SHED,
        Fault.UNAVAILABLE,
        Fault.CLOSE_UNRUN,
        Fault.CLOSE_AFTER_RUN,
        Fault.RESET_AFTER_RUN,
        Fault.SILENT,
        Fault.CUT_HEAD,
        Fault.CUT_BODY,
        Fault.RESET_BODY,
        Fault.DUPLICATE_ANSWER,
        Fault.STALE_ANSWER,
        Fault.TRAILING_BYTES,
        Fault.CROSSED_ANSWER,
        Fault.MALFORMED_ANSWER,
        Fault.BOTH_LENGTHS,
        Fault.EARLY_ANSWER,
        Fault.CLOSE_DELIMITED,
        Fault.CLOSE_DELIMITED_RESET,
        Fault.CUT_CHUNKS
    };

    private record Step(String id, String target, String body, boolean repeatable) {
        String bytes() {
            String head = (repeatable ? "GET" : "POST") + " /desk" + target + " HTTP/1.1\r\nhost: x\r\nx-request-id: "
                    + id + "\r\nidempotency-key: key-" + id + "\r\nx-request-deadline-ms: 400\r\n";
            return head + (repeatable ? "\r\n" : "content-length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void historyHolds(long seed) throws Exception {
        ConcurrentHashMap<String, KeyOutcome> keys = new ConcurrentHashMap<>();
        IdempotencyGuard guard = (service, key, id, print) -> CompletableFuture.completedFuture(Either.right(outcome ->
                assertThat(keys.put(id, outcome)).as("ticket of " + id).isNull()));
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (ProxyFixture bench = ProxyFixture.of(3, 64, wiring -> wiring.withIdempotencyGuard(guard))) {
            bench.upstreams.forEach(u -> u.faults((call, n) -> faultOf(seed, call, n)));
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int c = 0; c < CALLERS; c++) {
                int caller = c;
                callers.add(CompletableFuture.runAsync(() -> run(bench, seed, caller, keys), threads));
            }
            for (CompletableFuture<Void> caller : callers) {
                caller.get(120, TimeUnit.SECONDS);
            }
            while (bench.entry.inFlight() > 0) {
                Thread.onSpinWait();
            }
            assertThat(bench.permitsHeld).as("seed " + seed).hasValue(0);
            assertThat(bench.records).as("seed " + seed).hasSize(CALLERS * REQUESTS);
            for (RequestRecord record : bench.records) {
                int allowed = record.notRun() ? 0 : record.requestClass().equals("book") ? 1 : Integer.MAX_VALUE;
                assertThat(bench.runs(record.requestId())).as(record.toString()).isLessThanOrEqualTo(allowed);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static Fault faultOf(long seed, SimpleHttpRequest call, long number) {
        SplittableRandom random = new SplittableRandom(
                seed * 31 + number * 1_000_003 + call.target().hashCode());
        if (number < 10 || random.nextInt(100) >= 30) {
            return Fault.NONE;
        }
        return FAULTS[random.nextInt(FAULTS.length)];
    }

    private static void run(ProxyFixture bench, long seed, int number, ConcurrentHashMap<String, KeyOutcome> keys) {
        SplittableRandom random = new SplittableRandom(seed * 1_000 + number);
        RawCaller caller = bench.caller();
        for (int i = 0; i < REQUESTS; i++) {
            String id = seed + "-" + number + "-" + i;
            boolean repeatable = random.nextBoolean();
            boolean blob = repeatable && random.nextInt(4) == 0;
            int length = random.nextInt(200_000);
            String target = blob ? "/blob/" + length : repeatable ? "/quote/" + id : "/book/" + id;
            Step step = new Step(id, target, "hall-" + id, repeatable);
            Answer answer = caller.call(step.bytes());
            check(bench, step, answer, length, blob, keys);
            if (!answer.whole() || "close".equals(answer.header("connection"))) {
                caller.close();
                caller = bench.caller();
            }
        }
        caller.close();
    }

    private static void check(
            ProxyFixture bench,
            Step step,
            Answer answer,
            int length,
            boolean blob,
            ConcurrentHashMap<String, KeyOutcome> keys) {
        String context = step + " " + answer.status() + " " + answer.code();
        int runs = bench.runs(step.id());
        if (answer.whole() && answer.status() == 200) {
            if (blob) {
                assertThat(answer.body()).as(context).isEqualTo(BlobContent.bytes(step.target(), length));
            } else if (step.repeatable()) {
                assertThat(answer.text()).as(context).endsWith("GET " + step.target() + "\n");
            } else {
                assertThat(answer.text()).as(context).contains("POST " + step.target() + "\n");
            }
            assertThat(answer.header("x-request-id")).as(context).isEqualTo(step.id());
            assertThat(runs).as(context).isPositive();
        } else if (answer.whole() && !answer.code().isEmpty()) {
            assertThat(answer.saysNotRun()).as(context).isNotEqualTo(answer.saysUnknown());
        }
        if (answer.whole() && answer.saysNotRun()) {
            assertThat(runs).as(context).isZero();
        }
        if (!step.repeatable()) {
            assertThat(runs).as(context).isLessThanOrEqualTo(1);
            KeyOutcome outcome = keys.get(step.id());
            if (outcome != null && outcome.kind() == KeyOutcome.Kind.NOT_RUN) {
                assertThat(runs).as(context).isZero();
            }
        }
    }
}
