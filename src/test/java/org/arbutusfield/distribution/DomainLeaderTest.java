package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.lab.control.HostTimer;
import org.arbutusfield.lab.control.InMemorySnapshotStore;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DomainLeaderTest {
    private static final LeaderSettings SETTINGS = LeaderSettings.defaults();

    private final VirtualTimer timer = VirtualTimer.create();
    private final InMemorySnapshotStore store = InMemorySnapshotStore.create(timer);
    private HostTimer firstTimer;
    private HostTimer secondTimer;
    private DomainLeader first;
    private DomainLeader second;

    @BeforeEach
    void start() {
        firstTimer = HostTimer.create(timer);
        secondTimer = HostTimer.create(timer);
        first = leader("first", firstTimer);
        second = leader("second", secondTimer);
        timer.advance(Duration.ofSeconds(3));
    }

    @Test
    void oneOfTwoCandidatesHoldsLease() {
        assertThat(first.holdsLease()).isTrue();
        assertThat(second.fencingToken().getLeft().code()).isEqualTo(ErrorCode.LEASE_LAPSED);
    }

    @Test
    void holderPausedPastItsTermDoesNotRelyOnLeaseAfterResuming() {
        long token = first.fencingToken().get();
        firstTimer.pause(Duration.ofSeconds(60));
        timer.advance(Duration.ofSeconds(30));
        assertThat(first.holdsLease()).isFalse();
        assertThat(second.fencingToken().get()).isGreaterThan(token);
        timer.advance(Duration.ofSeconds(40));
        assertThat(first.holdsLease()).isFalse();
    }

    @Test
    void holderCutOffFromStoreStopsRelyingOnLeaseBeforeStoreReassignsIt() {
        store.down(true);
        timer.advance(SETTINGS.length().minus(SETTINGS.margin()));
        assertThat(first.holdsLease()).isFalse();
        store.down(false);
        timer.advance(Duration.ofSeconds(12));
        assertThat(first.holdsLease() ^ second.holdsLease()).isTrue();
    }

    @Test
    void leaseWithLostResponseIsObtainedByRetry() {
        store.dropResponses(true);
        timer.advance(Duration.ofSeconds(30));
        assertThat(first.holdsLease()).isFalse();
        store.dropResponses(false);
        timer.advance(Duration.ofSeconds(3));
        assertThat(first.holdsLease() ^ second.holdsLease()).isTrue();
    }

    @Test
    void responseSlowerThanLeaseGrantsNothing() {
        first.close();
        second.close();
        timer.advance(Duration.ofSeconds(10));
        store.delay(SETTINGS.length());
        DomainLeader late = leader("late", HostTimer.create(timer));
        timer.advance(Duration.ofSeconds(12));
        assertThat(late.holdsLease()).isFalse();
    }

    @Test
    void closeReleasesLeaseBeforeItExpires() {
        first.close();
        timer.advance(SETTINGS.renewalInterval().plusSeconds(1));
        assertThat(second.holdsLease()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void neverTwoLeadersUnderRandomPausesAndOutages(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int stepsWithLeader = 0;
        for (int step = 0; step < 4000; step++) {
            switch (random.nextInt(60)) {
                case 0 -> firstTimer.pause(Duration.ofMillis(random.nextInt(25_000)));
                case 1 -> secondTimer.pause(Duration.ofMillis(random.nextInt(25_000)));
                case 2 -> store.down(random.nextBoolean());
                case 3 -> store.dropResponses(random.nextBoolean());
                case 4 -> store.delay(Duration.ofMillis(random.nextInt(10_000)));
                case 5 -> store.delay(Duration.ofMillis(2));
                default -> timer.advance(Duration.ofMillis(random.nextInt(500)));
            }
            assertThat(first.holdsLease() && second.holdsLease())
                    .as("seed %d step %d", seed, step)
                    .isFalse();
            stepsWithLeader += first.holdsLease() || second.holdsLease() ? 1 : 0;
        }
        assertThat(stepsWithLeader).isPositive();
    }

    private DomainLeader leader(String holder, HostTimer hostTimer) {
        return DomainLeader.start(store.client(hostTimer), "gulf-a", holder, SETTINGS, hostTimer, () -> true);
    }
}
