package org.arbutusfield.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.lab.StoreFault;
import org.arbutusfield.lab.StoreFaults;
import org.arbutusfield.proxy.KeyClaim;
import org.arbutusfield.proxy.KeyOutcome;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;

class ClaimServiceTest {
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    private static final ClaimSettings SETTINGS = new ClaimSettings(
            2,
            Duration.ofHours(24),
            Duration.ofMinutes(3),
            Duration.ofSeconds(1),
            Duration.ofMillis(500),
            1000,
            ClaimShard.MAX_CLAIMS);

    private final VirtualTimer timer = VirtualTimer.create();
    private final MemoryStore store = MemoryStore.create(timer, TIMEOUT);

    @Test
    void resentRequestIsNotRunByAnotherHost() {
        KeyClaim first = granted(host("a"), "k");
        assertThat(code(host("b"), "k")).isEqualTo(ErrorCode.KEY_IN_PROGRESS);
        timer.advance(Duration.ofMinutes(4));
        assertThat(code(host("b"), "k")).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
        first.complete(KeyOutcome.answered(201));
        timer.advance(Duration.ofSeconds(1));
        Failure completed = begin(host("b"), "k").getLeft();
        assertThat(completed.code()).isEqualTo(ErrorCode.KEY_COMPLETED);
        assertThat(completed.detail()).contains("201");
        assertThat(granted(host("b"), "other")).isNotNull();
    }

    @Test
    void keyOfRequestThatWasNotRunMayBeReused() {
        granted(host("a"), "k").complete(KeyOutcome.notRun());
        timer.advance(Duration.ofSeconds(1));
        granted(host("b"), "k").complete(KeyOutcome.unknown());
        timer.advance(Duration.ofSeconds(1));
        assertThat(code(host("a"), "k")).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
    }

    @Test
    void unavailableStoreRefusesAtOnceWithRetryAfter() {
        store.injectFaults(StoreFaults.always(StoreFault.down()));
        long start = timer.nowNanos();
        Failure failure = begin(host("a"), "k").getLeft();
        assertThat(failure.code()).isEqualTo(ErrorCode.CLAIM_UNAVAILABLE);
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.retryAfter()).isPresent();
        assertThat(timer.nowNanos()).isEqualTo(start);
    }

    @Test
    void unresponsiveStoreRefusesWithinMaxWait() {
        store.injectFaults(StoreFaults.always(StoreFault.requestLost()));
        assertThat(code(host("a"), "k")).isEqualTo(ErrorCode.CLAIM_UNAVAILABLE);
        assertThat(timer.nowNanos()).isLessThanOrEqualTo(SETTINGS.maxWait().toNanos());
    }

    @Test
    void claimWhoseStoreResponseWasLostIsGranted() {
        loseWrites(1, StoreFault.responseLost());
        assertThat(granted(host("a"), "k")).isNotNull();
        loseWrites(1, StoreFault.delayedRequest(Duration.ofMillis(900)));
        assertThat(granted(host("a"), "l")).isNotNull();
        timer.advance(Duration.ofSeconds(5));
        assertThat(code(host("b"), "l")).isEqualTo(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void refusedClaimThatWasWrittenIsRemoved() {
        store.injectFaults(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.responseLost()));
        assertThat(code(host("a"), "k")).isEqualTo(ErrorCode.CLAIM_UNAVAILABLE);
        store.injectFaults(StoreFaults.none());
        timer.advance(Duration.ofSeconds(10));
        assertThat(granted(host("b"), "k")).isNotNull();
    }

    @Test
    void claimsThatArriveDuringWriteShareTheNextWrite() {
        store.injectFaults(StoreFaults.always(StoreFault.slow(Duration.ofMillis(10))));
        ClaimService host = host("a");
        granted(host, "warm-up");
        granted(host, "warm-up-2");
        long before = store.count(StoreCall.Kind.WRITE);
        List<CompletableFuture<Either<Failure, KeyClaim>>> results = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            results.add(host.claim("s", "k" + i, "", ""));
        }
        timer.advance(Duration.ofMillis(400));
        assertThat(results).allMatch(a -> a.join().isRight());
        assertThat(store.count(StoreCall.Kind.WRITE) - before).isLessThanOrEqualTo(2L * SETTINGS.shards());
    }

    @Property(tries = 60, seed = "5101")
    void everyKeyRunsAtMostOnceWithStoreFaults(@ForAll long seed) {
        new ClaimServiceTest().resendKeysWithFaults(seed);
    }

    /** Callers resend each key through random hosts while some hosts die and the store fails. */
    private void resendKeysWithFaults(long seed) {
        Random random = new Random(seed);
        Map<String, Integer> runs = new HashMap<>();
        AtomicInteger granted = new AtomicInteger();
        List<ClaimService> hosts = new ArrayList<>(List.of(host("h0"), host("h1"), host("h2")));
        store.injectFaults(call -> randomFault(random));
        for (int i = 0; i < 400; i++) {
            String key = "k" + random.nextInt(40);
            int index = random.nextInt(hosts.size());
            if (random.nextInt(40) == 0) {
                hosts.set(index, host("h" + index + "-" + i));
            }
            hosts.get(index)
                    .claim("s", key, "", "")
                    .thenAccept(result -> result.peek(claim -> {
                        granted.incrementAndGet();
                        run(random, key, claim, runs);
                    }));
            timer.advance(Duration.ofMillis(random.nextInt(300)));
        }
        timer.advance(Duration.ofMinutes(1));
        assertThat(granted.get()).as("seed %d", seed).isPositive();
        assertThat(runs.values()).as("runs by key %s, seed %d", runs, seed).allMatch(count -> count <= 1);
    }

    private void run(Random random, String key, KeyClaim claim, Map<String, Integer> runs) {
        int outcome = random.nextInt(4);
        if (outcome == 0) {
            claim.complete(KeyOutcome.notRun());
            return;
        }
        runs.merge(key, 1, Integer::sum);
        if (outcome < 3) {
            KeyOutcome reported = outcome == 1 ? KeyOutcome.answered(200) : KeyOutcome.unknown();
            timer.after(Duration.ofMillis(random.nextInt(2000)), () -> claim.complete(reported));
        }
    }

    private static StoreFault randomFault(Random random) {
        return switch (random.nextInt(10)) {
            case 0 -> StoreFault.responseLost();
            case 1 -> StoreFault.requestLost();
            case 2 -> StoreFault.down();
            case 3 -> StoreFault.delayedRequest(Duration.ofMillis(random.nextInt(2000)));
            default -> StoreFault.slow(Duration.ofMillis(random.nextInt(30)));
        };
    }

    private void loseWrites(int count, StoreFault fault) {
        AtomicInteger remaining = new AtomicInteger(count);
        store.injectFaults(call ->
                call.kind() == StoreCall.Kind.WRITE && remaining.getAndDecrement() > 0 ? fault : StoreFault.none());
    }

    private ClaimService host(String name) {
        return ClaimService.create(
                store, timer, () -> TimeUnit.NANOSECONDS.toSeconds(timer.nowNanos()), name, SETTINGS);
    }

    private KeyClaim granted(ClaimService host, String key) {
        return begin(host, key).get();
    }

    private ErrorCode code(ClaimService host, String key) {
        return begin(host, key).getLeft().code();
    }

    private Either<Failure, KeyClaim> begin(ClaimService host, String key) {
        CompletableFuture<Either<Failure, KeyClaim>> result = host.claim("s", key, "request", "");
        boolean waiting = true;
        while (waiting && !result.isDone()) {
            waiting = timer.step();
        }
        return result.join();
    }
}
