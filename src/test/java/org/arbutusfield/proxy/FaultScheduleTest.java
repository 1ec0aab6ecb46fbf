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
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Concurrent callers use upstreams that fail at random. Responses, reported outcomes and the number of runs at the
 * upstreams must agree. An assertion names the seed and the request. Which fault a request meets depends on the order
 * in which requests arrive, so a seed fixes the mix of faults but not which request meets which.
 */
class FaultScheduleTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_PER_CALLER = 120;
    private static final Fault[] FAULTS = {
        Fault.SHED,
        Fault.UNAVAILABLE,
        Fault.CLOSE_BEFORE_RUN,
        Fault.CLOSE_AFTER_RUN,
        Fault.RESET_AFTER_RUN,
        Fault.SILENT,
        Fault.TRUNCATED_HEAD,
        Fault.TRUNCATED_BODY,
        Fault.RESET_BODY,
        Fault.DUPLICATE_RESPONSE,
        Fault.LATE_DUPLICATE,
        Fault.TRAILING_BYTES,
        Fault.WRONG_REQUEST_ID,
        Fault.MALFORMED_RESPONSE,
        Fault.CONFLICTING_LENGTHS,
        Fault.EARLY_RESPONSE,
        Fault.CLOSE_DELIMITED,
        Fault.CLOSE_DELIMITED_RESET,
        Fault.TRUNCATED_CHUNKS,
        Fault.TWO_LENGTHS
    };

    private record RequestSpec(String id, String target, String body, boolean repeatable) {
        String bytes() {
            String head = (repeatable ? "GET" : "POST") + " /desk" + target + " HTTP/1.1\r\nhost: x\r\nx-request-id: "
                    + id + "\r\nidempotency-key: key-" + id + "\r\nx-request-deadline-ms: 400\r\n";
            return head + (repeatable ? "\r\n" : "content-length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void randomFaultsKeepOutcomesConsistent(long seed) throws Exception {
        ConcurrentHashMap<String, KeyOutcome> outcomes = new ConcurrentHashMap<>();
        IdempotencyGuard recordingGuard = (service, key, id, fingerprint) ->
                CompletableFuture.completedFuture(Either.right(outcome -> assertThat(outcomes.put(id, outcome))
                        .as("claim of " + id)
                        .isNull()));
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (ProxyFixture fixture =
                ProxyFixture.of(3, 64, components -> components.withIdempotencyGuard(recordingGuard))) {
            fixture.upstreams.forEach(u -> u.injectFaults((request, n) -> faultOf(seed, request, n)));
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int c = 0; c < CALLERS; c++) {
                int caller = c;
                callers.add(CompletableFuture.runAsync(() -> runCaller(fixture, seed, caller, outcomes), threads));
            }
            for (CompletableFuture<Void> caller : callers) {
                caller.get(120, TimeUnit.SECONDS);
            }
            while (fixture.server.inFlight() > 0) {
                Thread.onSpinWait();
            }
            assertThat(fixture.permitsHeld).as("seed " + seed).hasValue(0);
            assertThat(fixture.records).as("seed " + seed).hasSize(CALLERS * REQUESTS_PER_CALLER);
            for (RequestRecord record : fixture.records) {
                int allowed = record.notRun() ? 0 : record.requestClass().equals("book") ? 1 : Integer.MAX_VALUE;
                assertThat(fixture.runs(record.requestId()))
                        .as(record.toString())
                        .isLessThanOrEqualTo(allowed);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static Fault faultOf(long seed, SimpleHttpRequest request, long number) {
        SplittableRandom random = new SplittableRandom(
                seed * 31 + number * 1_000_003 + request.target().hashCode());
        if (number < 10 || random.nextInt(100) >= 30) {
            return Fault.NONE;
        }
        return FAULTS[random.nextInt(FAULTS.length)];
    }

    private static void runCaller(
            ProxyFixture fixture, long seed, int number, ConcurrentHashMap<String, KeyOutcome> outcomes) {
        SplittableRandom random = new SplittableRandom(seed * 1_000 + number);
        RawCaller caller = fixture.caller();
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
            String id = seed + "-" + number + "-" + i;
            boolean repeatable = random.nextBoolean();
            boolean blob = repeatable && random.nextInt(4) == 0;
            int length = random.nextInt(200_000);
            String target = blob ? "/blob/" + length : repeatable ? "/quote/" + id : "/book/" + id;
            RequestSpec spec = new RequestSpec(id, target, "hall-" + id, repeatable);
            Response response = caller.call(spec.bytes());
            check(fixture, spec, response, length, blob, outcomes);
            if (!response.complete() || "close".equals(response.header("connection"))) {
                caller.close();
                caller = fixture.caller();
            }
        }
        caller.close();
    }

    private static void check(
            ProxyFixture fixture,
            RequestSpec spec,
            Response response,
            int length,
            boolean blob,
            ConcurrentHashMap<String, KeyOutcome> outcomes) {
        String context = spec + " " + response.status() + " " + response.code();
        int runs = fixture.runs(spec.id());
        if (response.complete() && response.status() == 200) {
            if (blob) {
                assertThat(response.body()).as(context).isEqualTo(BlobContent.bytes(spec.target(), length));
            } else if (spec.repeatable()) {
                assertThat(response.text()).as(context).endsWith("GET " + spec.target() + "\n");
            } else {
                assertThat(response.text()).as(context).contains("POST " + spec.target() + "\n");
            }
            assertThat(response.header("x-request-id")).as(context).isEqualTo(spec.id());
            assertThat(runs).as(context).isPositive();
        } else if (response.complete() && !response.code().isEmpty()) {
            assertThat(response.statesNotRun()).as(context).isNotEqualTo(response.statesUnknown());
        }
        if (response.complete() && response.statesNotRun()) {
            assertThat(runs).as(context).isZero();
        }
        if (!spec.repeatable()) {
            assertThat(runs).as(context).isLessThanOrEqualTo(1);
            KeyOutcome outcome = outcomes.get(spec.id());
            if (outcome != null && outcome.kind() == KeyOutcome.Kind.NOT_RUN) {
                assertThat(runs).as(context).isZero();
            }
        }
    }
}
