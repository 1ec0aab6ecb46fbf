package org.arbutusfield.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.lab.StoreFault;
import org.arbutusfield.lab.StoreFaults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class StoreContractTest {
    private static final String KEY = "arbutusfield/a key/ü";
    private static final byte[] ONE = {1};
    private static final byte[] TWO = {2, 0, -1};
    private static final Duration WAIT = Duration.ofMillis(50);
    private static final Duration LEASE_DURATION = Duration.ofMinutes(1);

    private static final Map<String, Supplier<StoreFixture>> STORES =
            Map.of("in memory", StoreFixture::inMemory, "over http", StoreFixture::overHttp);

    private static final Map<String, Consumer<StoreFixture>> CASES = Map.ofEntries(
            Map.entry(
                    "absent key reads as empty",
                    fixture -> assertThat(fixture.await(fixture.store().read(KEY)))
                            .isEqualTo(Either.right(Optional.empty()))),
            Map.entry("versions start at 1 and increase with each write", fixture -> {
                assertThat(write(fixture, 0, ONE)).isEqualTo(Either.right(1L));
                assertThat(write(fixture, 1, TWO)).isEqualTo(Either.right(2L));
                assertThat(read(fixture)).contains(VersionedValue.of(2, TWO));
            }),
            Map.entry("a stale version conflicts and changes nothing", fixture -> {
                write(fixture, 0, ONE);
                assertThat(code(write(fixture, 0, TWO))).isEqualTo(ErrorCode.STORE_CONFLICT);
                assertThat(code(write(fixture, 2, TWO))).isEqualTo(ErrorCode.STORE_CONFLICT);
                assertThat(read(fixture)).contains(VersionedValue.of(1, ONE));
            }),
            Map.entry("largest value fits, one byte more does not", fixture -> {
                assertThat(write(fixture, 0, new byte[Store.MAX_VALUE_BYTES])).isEqualTo(Either.right(1L));
                assertThat(code(write(fixture, 1, new byte[Store.MAX_VALUE_BYTES + 1])))
                        .isEqualTo(ErrorCode.STORE_VALUE_TOO_LARGE);
            }),
            Map.entry("a watch returns on a write", fixture -> {
                CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch =
                        fixture.store().watch(KEY, 0, LEASE_DURATION);
                write(fixture, 0, ONE);
                assertThat(fixture.await(watch)).isEqualTo(Either.right(Optional.of(VersionedValue.of(1, ONE))));
            }),
            Map.entry("a watch ends empty when its wait is over", fixture -> {
                write(fixture, 0, ONE);
                assertThat(fixture.await(fixture.store().watch(KEY, 1, WAIT)))
                        .isEqualTo(Either.right(Optional.empty()));
                assertThat(fixture.await(fixture.store().watch(KEY, 0, WAIT)).get())
                        .isPresent();
            }),
            Map.entry("a watch without a response times out", fixture -> {
                fixture.content().injectFaults(StoreFaults.on(StoreCall.Kind.WATCH, StoreFault.requestLost()));
                assertThat(code(fixture.await(fixture.store().watch(KEY, 0, WAIT))))
                        .isEqualTo(ErrorCode.STORE_TIMEOUT);
            }),
            Map.entry("unavailable: calls are rejected without effect", fixture -> {
                fixture.content().injectFaults(StoreFaults.always(StoreFault.down()));
                assertThat(code(write(fixture, 0, ONE))).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
                assertThat(code(fixture.await(fixture.store().read(KEY)))).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
                assertThat(fixture.content().peek(KEY)).isEmpty();
            }),
            Map.entry("response lost after the write: outcome unknown, the write took effect", fixture -> {
                fixture.content().injectFaults(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.responseLost()));
                Failure failure = write(fixture, 0, ONE).getLeft();
                assertThat(failure.code()).isEqualTo(ErrorCode.STORE_TIMEOUT);
                assertThat(failure.notRun()).isFalse();
                assertThat(read(fixture)).contains(VersionedValue.of(1, ONE));
            }),
            Map.entry("call lost before the write: outcome unknown, no effect", fixture -> {
                fixture.content().injectFaults(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.requestLost()));
                assertThat(code(write(fixture, 0, ONE))).isEqualTo(ErrorCode.STORE_TIMEOUT);
                assertThat(read(fixture)).isEmpty();
            }),
            Map.entry("slow: the response is delayed", fixture -> {
                fixture.content().injectFaults(StoreFaults.always(StoreFault.slow(WAIT)));
                assertThat(write(fixture, 0, ONE)).isEqualTo(Either.right(1L));
            }),
            Map.entry("a lease has one holder, who may renew it", fixture -> {
                assertThat(lease(fixture, "a").get().token()).isEqualTo(1);
                assertThat(code(lease(fixture, "b"))).isEqualTo(ErrorCode.LEASE_HELD);
                assertThat(lease(fixture, "a").get().token()).isEqualTo(1);
            }),
            Map.entry("an expired lease goes to another holder with a larger token", fixture -> {
                lease(fixture, "a");
                fixture.content().expireLease(KEY);
                assertThat(lease(fixture, "b").get().token()).isEqualTo(2);
                assertThat(code(lease(fixture, "a"))).isEqualTo(ErrorCode.LEASE_HELD);
            }),
            Map.entry("only its holder releases a lease", fixture -> {
                lease(fixture, "a");
                assertThat(fixture.await(fixture.store().releaseLease(KEY, "b")))
                        .isEqualTo(Either.right(false));
                assertThat(fixture.await(fixture.store().releaseLease(KEY, "a")))
                        .isEqualTo(Either.right(true));
                assertThat(lease(fixture, "b").get().token()).isEqualTo(2);
            }),
            Map.entry("above the rate limit: calls are rejected without effect", fixture -> {
                fixture.content().limitRates(1, 1);
                assertThat(write(fixture, 0, ONE).isRight()).isTrue();
                assertThat(code(write(fixture, 1, TWO))).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
                assertThat(fixture.content().peek(KEY)).contains(VersionedValue.of(1, ONE));
                assertThat(fixture.content().count(StoreCall.Kind.WRITE)).isEqualTo(2);
            }),
            Map.entry("reads the older state after a restore", fixture -> {
                write(fixture, 0, ONE);
                Map<String, VersionedValue> image = fixture.content().snapshot();
                write(fixture, 1, TWO);
                fixture.content().restore(image);
                assertThat(read(fixture)).contains(VersionedValue.of(1, ONE));
            }));

    static Stream<Arguments> contract() {
        return STORES.keySet().stream()
                .sorted()
                .flatMap(store -> CASES.keySet().stream().sorted().map(c -> Arguments.of(store, c)));
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("contract")
    void meetsContract(String store, String name) {
        try (StoreFixture fixture = STORES.get(store).get()) {
            CASES.get(name).accept(fixture);
        }
    }

    private static Either<Failure, Long> write(StoreFixture fixture, long expected, byte[] value) {
        return fixture.await(fixture.store().compareAndSwap(KEY, expected, value));
    }

    private static Optional<VersionedValue> read(StoreFixture fixture) {
        return fixture.await(fixture.store().read(KEY)).get();
    }

    private static Either<Failure, Lease> lease(StoreFixture fixture, String holder) {
        return fixture.await(fixture.store().acquireLease(KEY, holder, LEASE_DURATION));
    }

    private static ErrorCode code(Either<Failure, ?> result) {
        return result.getLeft().code();
    }
}
