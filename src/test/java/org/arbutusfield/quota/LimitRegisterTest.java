package org.arbutusfield.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.arbutusfield.state.UpstreamStart;
import org.junit.jupiter.api.Test;

/** What the leader takes for the limit in force, from responses that come late and out of order. */
class LimitRegisterTest {
    private static final UpstreamStart UPSTREAM = new UpstreamStart("u", 7);
    private static final long TERM = 4711;

    private final LimitRegister register = LimitRegister.create(TERM);

    private LimitVersion now() {
        return register.limit(UPSTREAM).version().orElseThrow();
    }

    private static UpstreamLimit limit(double perSecond, Optional<LimitVersion> permitted) {
        return new UpstreamLimit(UPSTREAM, OptionalDouble.of(perSecond), permitted);
    }

    private static UpstreamLimit none(LimitVersion permitted) {
        return new UpstreamLimit(UPSTREAM, OptionalDouble.empty(), Optional.of(permitted));
    }

    private OptionalDouble inForce() {
        return register.limit(UPSTREAM).perSecond();
    }

    @Test
    void limitThatBeginsOrFallsCountsAtOnce() {
        assertThat(register.reported(limit(8, Optional.empty()))).isTrue();
        assertThat(inForce()).hasValue(8);
        assertThat(register.reported(limit(1, Optional.empty()))).isFalse();
        assertThat(inForce()).hasValue(1);
    }

    /** Guards against a host that heard an earlier, higher limit and raises it for all. */
    @Test
    void limitRisesOnlyWithAResponseToALaterRequest() {
        LimitVersion before = now();
        register.reported(limit(1, Optional.of(before)));
        register.reported(limit(8, Optional.of(before)));
        register.reported(limit(8, Optional.empty()));
        register.believed(limit(8, Optional.of(new LimitVersion(TERM + 1, Long.MAX_VALUE))));
        assertThat(inForce()).hasValue(1);
        register.reported(limit(8, Optional.of(now())));
        assertThat(inForce()).hasValue(8);
    }

    /** Guards against a rise that never counts, because other requests are always under way. */
    @Test
    void limitRisesWhileOtherRequestsAreUnderWay() {
        register.reported(limit(1, Optional.empty()));
        List<LimitVersion> underWay = new ArrayList<>(List.of(now(), now(), now()));
        for (int i = 0; i < 4; i++) {
            underWay.add(now());
            register.reported(limit(3, Optional.of(underWay.remove(0))));
        }
        assertThat(inForce()).hasValue(3);
    }

    /** Guards against a response that was sent before the limit was named and ends it. */
    @Test
    void limitEndsOnlyWithAResponseToARequestAfterTheLastThatNamedOne() {
        LimitVersion before = now();
        register.reported(limit(2, Optional.empty()));
        LimitVersion between = now();
        register.reported(limit(5, Optional.of(before)));
        register.reported(none(before));
        register.reported(none(between));
        register.reported(UpstreamLimit.none(UPSTREAM));
        register.reported(none(new LimitVersion(TERM + 1, Long.MAX_VALUE)));
        assertThat(inForce()).hasValue(2);
        register.reported(none(now()));
        assertThat(inForce()).isEmpty();
    }

    /** What a host has from this leader is no news, so that an ended limit doesn't come back. */
    @Test
    void beliefFromThisTermChangesNothing() {
        register.reported(limit(2, Optional.empty()));
        UpstreamLimit told = register.limit(UPSTREAM);
        register.reported(none(now()));
        assertThat(register.believed(told)).isFalse();
        assertThat(inForce()).isEmpty();
        assertThat(register.believed(limit(2, Optional.empty()))).isTrue();
        assertThat(inForce()).hasValue(2);
    }

    @Test
    void limitBelongsToOneStartOfTheUpstream() {
        UpstreamStart next = new UpstreamStart("u", 8);
        register.reported(limit(2, Optional.empty()));
        assertThat(register.limit(next).perSecond()).isEmpty();
        register.reported(new UpstreamLimit(next, OptionalDouble.of(4), Optional.empty()));
        register.reported(limit(1, Optional.empty()));
        assertThat(register.limit(next).perSecond()).hasValue(4);
        // A host that doesn't know of the new start yet is bound by its limit.
        assertThat(register.limit(UPSTREAM).perSecond()).hasValue(4);
        assertThat(register.limit("u").perSecond()).hasValue(4);
    }

    /**
     * Searches all orders: an upstream names another limit now and then, responses to permitted requests arrive in any
     * order, and what is in force is never above the lowest limit that was named since the last report was permitted.
     */
    @Test
    void limitInForceIsNeverAboveWhatCanStillHold() {
        for (int seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            LimitRegister searched = LimitRegister.create(seed);
            List<UpstreamLimit> onTheWay = new ArrayList<>();
            List<Integer> namedAt = new ArrayList<>();
            List<Double> named = new ArrayList<>();
            int newestHeard = -1;
            for (int step = 0; step < 60; step++) {
                if (random.nextInt(3) > 0 || onTheWay.isEmpty()) {
                    boolean limited = random.nextInt(4) > 0;
                    OptionalDouble value = limited ? OptionalDouble.of(1 + random.nextInt(8)) : OptionalDouble.empty();
                    named.add(value.orElse(Double.POSITIVE_INFINITY));
                    namedAt.add(named.size() - 1);
                    // The upstream answers as soon as it is asked; only the way back takes time.
                    onTheWay.add(new UpstreamLimit(
                            UPSTREAM, value, searched.limit(UPSTREAM).version()));
                    continue;
                }
                int picked = random.nextInt(onTheWay.size());
                newestHeard = Math.max(newestHeard, namedAt.remove(picked));
                searched.reported(onTheWay.remove(picked));
                double inForce = searched.limit(UPSTREAM).perSecond().orElse(Double.POSITIVE_INFINITY);
                // Whatever is in force was named, and the newest response heard is no lower than it.
                assertThat(inForce).as("seed %s", seed).isLessThanOrEqualTo(named.get(newestHeard));
            }
        }
    }
}
