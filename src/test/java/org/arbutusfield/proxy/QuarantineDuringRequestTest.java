package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.proxy.RawCaller.Response;
import org.junit.jupiter.api.Test;

/** Requests whose quarantine begins while they are under way on this host. */
class QuarantineDuringRequestTest {
    private final AtomicBoolean quarantined = new AtomicBoolean();
    private final CrashGuard guard = new CrashGuard() {
        @Override
        public boolean hasSuspects() {
            return quarantined.get();
        }

        @Override
        public boolean suspect(String fingerprint) {
            return quarantined.get();
        }

        @Override
        public boolean quarantined(String fingerprint) {
            return quarantined.get();
        }

        @Override
        public void answered(Supplier<List<String>> fingerprints) {}

        @Override
        public void runInterrupted(InterruptedRun run) {}
    };

    private static void assertQuarantined(Response response) {
        assertThat(response.status()).isEqualTo(400);
        assertThat(response.code()).isEqualTo("REQUEST_QUARANTINED");
        assertThat(response.statesNotRun()).isTrue();
        assertThat(response.header("retry-after")).isNull();
    }

    /** Guards against a refusal that asks the caller to come again with a request that will be refused. */
    @Test
    void requestQuarantinedAfterAnUpstreamShedItIsNotAskedToComeAgain() {
        try (ProxyFixture fixture = ProxyFixture.of(2, 64, components -> components.withCrashGuard(guard));
                RawCaller caller = fixture.caller()) {
            fixture.upstreams.forEach(upstream -> upstream.injectFaults((request, n) -> {
                quarantined.set(true);
                return Fault.SHED;
            }));
            assertQuarantined(caller.call(get("/desk/quote", "q")));
            assertThat(fixture.permitsHeld).hasValue(0);
        }
    }

    /** Guards against a request that waits for an upstream, is quarantined meanwhile, and is sent all the same. */
    @Test
    void requestQuarantinedWhileItWaitsForAnUpstreamIsSentToNone() {
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, this::quarantinesBeforePlacing);
                RawCaller caller = fixture.caller()) {
            assertQuarantined(caller.call(get("/desk/quote", "q")));
            assertThat(fixture.runs("q")).isZero();
            assertThat(fixture.permitsHeld).hasValue(0);
            assertThat(fixture.outcomes).containsExactly(AttemptOutcome.CANCELLED);
        }
    }

    /** The connection that was meant for the quarantined request serves a harmless one. */
    @Test
    void connectionOfAQuarantinedRequestStaysInUse() {
        AtomicBoolean first = new AtomicBoolean(true);
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, components -> quarantinesWhilePlacing(components, first));
                RawCaller caller = fixture.caller()) {
            assertQuarantined(caller.call(get("/desk/quote", "q")));
            quarantined.set(false);
            assertThat(caller.call(get("/desk/quote", "harmless")).status()).isEqualTo(200);
            assertThat(fixture.upstream().peakConnections()).isEqualTo(1);
        }
    }

    private ProxyComponents quarantinesBeforePlacing(ProxyComponents components) {
        return quarantinesWhilePlacing(components, new AtomicBoolean(true));
    }

    /** The quarantine begins between the first request for an upstream and the placement. */
    private ProxyComponents quarantinesWhilePlacing(ProxyComponents components, AtomicBoolean first) {
        Placement placement = components.placement();
        return components.withCrashGuard(guard).withPlacement(request -> {
            if (first.getAndSet(false)) {
                quarantined.set(true);
            }
            return placement.place(request);
        });
    }
}
