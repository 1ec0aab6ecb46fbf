package org.arbutusfield.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.arbutusfield.health.UpstreamHealth.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamHealthTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @ParameterizedTest
    @CsvSource({
        "FAST, 100, HEALTHY",
        "SHED, 500, SUSPECT",
        "SILENT_CONNECTION, 500, SUSPECT",
        "SLOW, 16, SUSPECT",
        "SLOW, 17, EJECTED",
        "TIMEOUT, 3, EJECTED",
        "CONNECT_FAILURE, 2, SUSPECT",
        "CONNECT_FAILURE, 3, EJECTED"
    })
    void consecutiveSignalsLeadToState(HealthSignal signal, int count, State expected) {
        assertThat(repeat(healthy(), signal, count, 0).state()).isEqualTo(expected);
    }

    @Test
    void ejectionEndsInProbingAndThreeGoodResponsesReturnAsSuspect() {
        UpstreamHealth ejected = repeat(healthy(), HealthSignal.CONNECT_FAILURE, 3, 0);
        assertThat(ejected.share(SECOND)).isZero();
        assertThat(ejected.afterSignal(HealthSignal.FAST, SECOND).state()).isEqualTo(State.EJECTED);
        UpstreamHealth probing = ejected.asOf(2 * SECOND);
        assertThat(probing.state()).isEqualTo(State.PROBING);
        assertThat(repeat(probing, HealthSignal.FAST, 2, 2 * SECOND).state()).isEqualTo(State.PROBING);
        UpstreamHealth returned = repeat(probing, HealthSignal.FAST, 3, 2 * SECOND);
        assertThat(returned.state()).isEqualTo(State.SUSPECT);
        assertThat(returned.share(2 * SECOND)).isLessThan(0.6);
        assertThat(repeat(returned, HealthSignal.FAST, 1, 2 * SECOND).state()).isEqualTo(State.HEALTHY);
    }

    @Test
    void flappingUpstreamIsEjectedLongerEachTimeUntilHealthyForAMinute() {
        UpstreamHealth health = healthy();
        long now = 0;
        List<Long> lengths = new ArrayList<>();
        for (int flap = 0; flap < 8; flap++) {
            health = repeat(health, HealthSignal.CONNECT_FAILURE, 3, now);
            lengths.add(health.ejectionNanos() / SECOND);
            now += health.ejectionNanos();
            health = repeat(health.asOf(now), HealthSignal.FAST, 25, now);
        }
        assertThat(lengths).containsExactly(2L, 4L, 8L, 16L, 32L, 64L, 64L, 64L);
        int ejections = health.ejections();
        assertThat(health.asOf(now + 61 * SECOND).ejections()).isEqualTo(ejections - 1);
    }

    @Test
    void missingSignalsReduceShare() {
        UpstreamHealth health = healthy();
        assertThat(health.share(9 * SECOND)).isEqualTo(1);
        assertThat(health.share(11 * SECOND)).isEqualTo(0.5);
    }

    @Test
    void slowUpstreamIsEjectedAndItsPeersAreNot() {
        Random random = new Random(5);
        UpstreamHealth slow = healthy();
        UpstreamHealth peer = healthy();
        long median = 14_000_000;
        for (int i = 0; i < 200; i++) {
            double draw = -Math.log(1 - random.nextDouble());
            peer = peer.afterResponse((long) (draw * 20_000_000), median, i);
            slow = slow.afterResponse((long) (draw * 160_000_000), median, i);
            assertThat(peer.state()).isNotEqualTo(State.EJECTED);
        }
        assertThat(slow.state()).isEqualTo(State.EJECTED);
        assertThat(slow.hardFailure()).isFalse();
    }

    @Test
    void medianIgnoresOutliersAndUpstreamsWithoutResponses() {
        assertThat(GroupLatency.median(List.of(10L, 12L, 900L, 0L, 11L))).isEqualTo(11);
        assertThat(GroupLatency.median(List.of(10L, 0L, 900L))).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void healthDataNeverExcludesMoreThanHalf(long seed) {
        Random random = new Random(seed);
        List<HealthSignal> signals = List.of(HealthSignal.values());
        for (int round = 0; round < 300; round++) {
            Map<String, UpstreamHealth> group = new TreeMap<>();
            int size = 1 + random.nextInt(18);
            boolean allHardFailures = random.nextBoolean();
            for (int i = 0; i < size; i++) {
                UpstreamHealth health = healthy();
                for (int s = 0; s < 12; s++) {
                    HealthSignal signal = allHardFailures
                            ? HealthSignal.CONNECT_FAILURE
                            : signals.get(random.nextInt(signals.size()));
                    health = health.afterSignal(signal, s * SECOND);
                }
                group.put("u" + i, health);
            }
            long usable = PanicThreshold.shares(group, 12 * SECOND).values().stream()
                    .filter(share -> share >= 0.2)
                    .count();
            assertThat(usable * 2).as("seed %d round %d", seed, round).isGreaterThanOrEqualTo(size);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 16, 200, 2_000})
    void probesPerUpstreamDoNotGrowWithTheNumberOfHosts(int hosts) {
        List<String> hostNames = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            hostNames.add("h" + i);
        }
        List<String> upstreams = List.of("u1", "u2", "u3");
        long probers = hostNames.stream()
                .filter(host -> ProbeAssignment.assignedUpstreams(host, hostNames, upstreams)
                        .contains("u1"))
                .count();
        assertThat(probers).isEqualTo(Math.min(hosts, ProbeAssignment.PROBERS_PER_UPSTREAM));
        double perSecond = 2.0 * ProbeAssignment.PROBERS_PER_UPSTREAM / ProbeAssignment.PROBE_PERIOD.toSeconds();
        assertThat(perSecond).isLessThanOrEqualTo(1);
        long next = ProbeAssignment.nextProbeNanos("h0", "u1", 100 * SECOND);
        assertThat(next - 100 * SECOND).isBetween(1L, ProbeAssignment.PROBE_PERIOD.toNanos());
        assertThat(ProbeAssignment.nextProbeNanos("h0", "u1", next) - next)
                .isEqualTo(ProbeAssignment.PROBE_PERIOD.toNanos());
    }

    @ParameterizedTest
    @CsvSource({"true, 10, REPLACE", "true, 9, KEEP", "false, 999, KEEP"})
    void connectionWithoutProgressIsReplaced(boolean awaiting, long idle, SilentConnectionPolicy.Action expected) {
        assertThat(SilentConnectionPolicy.evaluate(awaiting, 0, 10, idle)).isEqualTo(expected);
        assertThat(SilentConnectionPolicy.timeoutSignal(true)).isEqualTo(HealthSignal.SILENT_CONNECTION);
        assertThat(SilentConnectionPolicy.timeoutSignal(false).hardFailure()).isTrue();
    }

    private static UpstreamHealth healthy() {
        return repeat(UpstreamHealth.unknown(0), HealthSignal.FAST, 30, 0);
    }

    private static UpstreamHealth repeat(UpstreamHealth health, HealthSignal signal, int count, long now) {
        UpstreamHealth current = health;
        for (int i = 0; i < count; i++) {
            current = current.afterSignal(signal, now);
        }
        return current;
    }
}
