package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.state.LiveUpstream;
import org.junit.jupiter.api.Test;

/** The review of requests at a home with a full queue. */
class LoadPlacementTest {
    private static final long SECOND = 1_000_000_000L;
    private static final LiveUpstream HOME = new LiveUpstream(
            new Upstream("u", "s", "d", "127.0.0.1", 1, 6, 10), "r", 0, 0, 1, WeightedRendezvous.hash("u"));

    private final List<PlacementRefusal> refusals = new ArrayList<>();
    private boolean teams;
    private final LoadPlacement placement =
            LoadPlacement.create(UpstreamLoadKnowledge.create(), () -> teams, new PlacementObserver() {
                @Override
                public void placed(PlacementRequest placementRequest, Choice choice) {}

                @Override
                public void refused(PlacementRequest placementRequest, PlacementRefusal refusal) {
                    refusals.add(refusal);
                }
            });

    private static PlacementRequest request(String id, long remainingMillis) {
        RequestClass requestClass = new RequestClass("r", List.of(), "/", true, true, 1500);
        return new PlacementRequest(
                id,
                new Service("s", 0, 0, 0, List.of(requestClass), List.of()),
                requestClass,
                "GET",
                "/",
                Duration.ofMillis(remainingMillis),
                new InetSocketAddress(0),
                0,
                Set.of(),
                Optional.empty(),
                Optional.of("17"));
    }

    /** Measures the work as 0.25 s, and lets the home state a queue. */
    private void homeStates(int waiting, OptionalDouble slowness) {
        LoadPlacement.Sent sent = placement.sent(request("0", 1500), HOME, true, 0);
        sent.stated(new UpstreamNotice.Load(6, waiting, 6, slowness), SECOND);
        sent.ended(AttemptOutcome.COMPLETED, SECOND / 4);
    }

    private Either<Failure, LiveUpstream> review(String id, long remainingMillis) {
        return placement.review(request(id, remainingMillis), HOME, true, List::of, SECOND);
    }

    /** Guards against refused callers that return all at the same time, or long before there is room. */
    @Test
    void retryAfterFollowsTheBacklogAndIsSpread() {
        homeStates(60, OptionalDouble.of(1));
        List<Duration> delays = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Failure failure = review("id-" + i, 1500).getLeft();
            assertThat(failure.code()).isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
            assertThat(failure.notRun()).isTrue();
            delays.add(failure.retryAfter().orElseThrow());
        }
        assertThat(delays)
                .doesNotHaveDuplicates()
                .allSatisfy(delay -> assertThat(delay).isBetween(Duration.ofMillis(1400), Duration.ofMillis(3200)));
        assertThat(refusals)
                .hasSize(50)
                .allSatisfy(refusal -> assertThat(refusal.reason()).isEqualTo(PlacementRefusal.Reason.DEADLINE));
    }

    /** Guards against a changed placement where neither teams are configured nor upstreams state their speed. */
    @Test
    void withoutTeamsAndSpeedNothingIsRefused() {
        homeStates(60, OptionalDouble.empty());
        assertThat(review("a", 100)).isEqualTo(Either.right(HOME));
        teams = true;
        assertThat(review("a", 100).isLeft()).isTrue();
    }

    /** Guards against a refusal before anything was measured. */
    @Test
    void withoutMeasuredWorkNothingIsRefused() {
        teams = true;
        assertThat(review("a", 1)).isEqualTo(Either.right(HOME));
    }
}
