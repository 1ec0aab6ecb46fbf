package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;

/**
 * Callers and upstreams that do anything, on sockets, with a real host between them. Each request ends by its deadline;
 * no caller gets a byte of another's response, or a cut one as whole; what may not be repeated runs once at most; "not
 * run" is true; and all permits come back.
 */
class ExchangeFuzzTest {
    /** The long form is started with {@code -Dexchange.seeds=50}. */
    private static final int SEEDS = Integer.getInteger("exchange.seeds", 6);

    private static final int FIRST_SEED = Integer.getInteger("exchange.first", 1);
    private static final int CALLERS = 6;
    private static final int ROUNDS = 12;
    private static final int UPSTREAMS = 3;
    private static final long DEADLINE_MILLIS = 800;
    private static final Duration SLACK = Duration.ofMillis(500);

    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private final Queue<String> notRun = new ConcurrentLinkedQueue<>();
    private final AtomicInteger whole = new AtomicInteger();

    /** One request of a caller. */
    private record Sent(String id, boolean repeatable) {}

    @Test
    void eachExchangeEndsAsItMust() throws InterruptedException {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            play(seed);
            assertThat(faults).as("seed %s", seed).isEmpty();
        }
        assertThat(whole.get()).isGreaterThan(SEEDS * CALLERS * ROUNDS / 4);
    }

    private void play(int seed) throws InterruptedException {
        Map<String, Queue<String>> runs = FuzzedUpstream.noRuns();
        List<ScriptedUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(ScriptedUpstream.start(FuzzedUpstream.of(seed * 31L + i, runs)));
        }
        Queue<CompletableFuture<Void>> released = new ConcurrentLinkedQueue<>();
        Placement placement = request -> place(request, upstreams, released);
        try (ProxyFixture fixture = ProxyFixture.of(0, 0, components -> components.withPlacement(placement))) {
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Random random = new Random(seed * 1_000L + i);
                String name = "s" + seed + "c" + i;
                Thread caller = new Thread(() -> callRounds(fixture, random, name));
                callers.add(caller);
                caller.start();
            }
            for (Thread caller : callers) {
                caller.join();
            }
            awaitAll(released);
        }
        upstreams.forEach(ScriptedUpstream::close);
        notRun.stream().filter(runs::containsKey).forEach(id -> faults.add("run, although told not: " + id));
        runs.forEach((id, answers) -> {
            if (id.endsWith("p") && answers.size() > 1) {
                faults.add("run more than once: " + id + " " + answers);
            }
        });
    }

    private static CompletableFuture<Either<Failure, PlacementTarget>> place(
            PlacementRequest request, List<ScriptedUpstream> upstreams, Queue<CompletableFuture<Void>> released) {
        for (int i = 0; i < upstreams.size(); i++) {
            int chosen = Math.floorMod(request.requestId().hashCode() + i, upstreams.size());
            String name = "u" + chosen;
            if (!request.tried().contains(name)) {
                int port = upstreams.get(chosen).port();
                CompletableFuture<Void> release = new CompletableFuture<>();
                released.add(release);
                Permit permit = (outcome, nanos) -> release.complete(null);
                return CompletableFuture.completedFuture(Either.right(new PlacementTarget.UpstreamTarget(
                        new Upstream(name, "desk", "gulf-a", "127.0.0.1", port, 64, 64), permit)));
            }
        }
        return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.NO_UPSTREAM)));
    }

    private void awaitAll(Queue<CompletableFuture<Void>> released) throws InterruptedException {
        try {
            CompletableFuture.allOf(released.toArray(CompletableFuture[]::new)).get(3, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            faults.add("permits held: "
                    + released.stream().filter(release -> !release.isDone()).count());
        }
    }

    private void callRounds(ProxyFixture fixture, Random random, String name) {
        RawCaller caller = fixture.caller();
        for (int round = 0; round < ROUNDS; round++) {
            boolean usable = callOnce(caller, random, name + "r" + round);
            if (!usable) {
                caller.close();
                caller = fixture.caller();
            }
        }
        caller.close();
    }

    /**
     * Sends one request, or some together, and reads the responses; returns whether the connection can be used again.
     */
    private boolean callOnce(RawCaller caller, Random random, String name) {
        List<Sent> sent = new ArrayList<>();
        StringBuilder bytes = new StringBuilder();
        int count = random.nextInt(3) == 0 ? 2 + random.nextInt(3) : 1;
        for (int i = 0; i < count; i++) {
            boolean repeatable = count > 1 || random.nextBoolean();
            String id = name + "n" + i + (repeatable ? "g" : "p");
            String request =
                    repeatable ? get("/desk/quote", id) : post("/desk/book", id, "x".repeat(random.nextInt(300)));
            bytes.append(request.replace("host: x", "host: x\r\nx-request-deadline-ms: " + DEADLINE_MILLIS));
            sent.add(new Sent(id, repeatable));
        }
        if (random.nextInt(12) == 0) {
            caller.send(bytes.substring(0, random.nextInt(bytes.length())));
            caller.reset();
            return false;
        }
        long start = System.nanoTime();
        caller.send(bytes.toString());
        for (Sent request : sent) {
            if (!check(request, read(caller, request), start)) {
                return false;
            }
        }
        return true;
    }

    private Response read(RawCaller caller, Sent request) {
        try {
            return caller.read(false);
        } catch (AssertionError e) {
            faults.add(request.id() + ": " + e.getMessage());
            return Response.NONE;
        }
    }

    private boolean check(Sent request, Response response, long startNanos) {
        long millis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        if (millis > DEADLINE_MILLIS + SLACK.toMillis()) {
            faults.add("ended after " + millis + " ms: " + request.id());
        }
        if (!response.complete()) {
            return false;
        }
        if (!request.id().equals(response.header("x-request-id"))) {
            faults.add("another's response: " + request.id());
        }
        if (response.status() == 200) {
            whole.incrementAndGet();
            if (!response.text().equals(FuzzedUpstream.bodyOf(request.id()))) {
                faults.add("not the whole body: " + request.id());
            }
        } else if (response.statesNotRun()) {
            notRun.add(request.id());
        }
        return !"close".equals(response.header("connection"));
    }
}
