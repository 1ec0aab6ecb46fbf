package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.junit.jupiter.api.Test;

/** Requests whose permission to be sent expires between their placement and the sending. */
class PermitExpiryTest {
    private final AtomicInteger expiredLeft = new AtomicInteger();

    private ProxyComponents withExpiringPermits(ProxyComponents components) {
        Placement placement = components.placement();
        return components.withPlacement(request -> placement
                .place(request)
                .thenApply(placed -> placed.map(target -> new PlacementTarget.UpstreamTarget(
                        ((PlacementTarget.UpstreamTarget) target).upstream(), expiring(target.permit())))));
    }

    private Permit expiring(Permit inner) {
        return new Permit() {
            @Override
            public void release(AttemptOutcome outcome, long serviceNanos) {
                inner.release(outcome, serviceNanos);
            }

            @Override
            public Optional<Failure> refusalToSend() {
                return expiredLeft.getAndDecrement() > 0
                        ? Optional.of(Failure.of(ErrorCode.PERMIT_EXPIRED, "u"))
                        : Optional.empty();
            }
        };
    }

    /** Guards against a request that is sent with an expired permission; it is placed again, and runs once. */
    @Test
    void requestWhosePermitExpiredIsPlacedAgain() {
        expiredLeft.set(1);
        try (ProxyFixture fixture = ProxyFixture.of(2, 64, this::withExpiringPermits);
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(get("/desk/quote", "q")).status()).isEqualTo(200);
            assertThat(fixture.runs("q")).isEqualTo(1);
            assertThat(fixture.permitsHeld).hasValue(0);
            assertThat(fixture.outcomes).containsExactly(AttemptOutcome.CANCELLED, AttemptOutcome.COMPLETED);
        }
    }

    /** A request that never gets a valid permission is refused, and the refusal is true. */
    @Test
    void requestWithoutAValidPermitIsRefusedAndHasNotRun() {
        expiredLeft.set(Integer.MAX_VALUE);
        try (ProxyFixture fixture = ProxyFixture.of(2, 64, this::withExpiringPermits);
                RawCaller caller = fixture.caller()) {
            RawCaller.Response response = caller.call(get("/desk/quote", "q"));
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.statesNotRun()).isTrue();
            assertThat(response.header("retry-after")).isNotNull();
            assertThat(fixture.runs("q")).isZero();
            assertThat(fixture.permitsHeld).hasValue(0);
        }
    }
}
