package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutusfield.lab.control.VirtualHost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs random schedules of faults against complete hosts in virtual time and checks the history of installations. */
class DistributionFaultScheduleTest {
    private static final int HOSTS = 12;
    private static final int STEPS = 150;
    private static final Duration CONVERGENCE_LIMIT = Duration.ofSeconds(60);

    private final List<String> trace = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108})
    void revisionsNeverGoBackAndConvergeAfterFaultsEnd(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualFleet fleet = new VirtualFleet(seed, HOSTS);
        fleet.run(Duration.ofSeconds(15));
        fleet.store.accept(content(random));
        for (int step = 0; step < STEPS; step++) {
            injectFault(fleet, random);
            fleet.run(Duration.ofMillis(random.nextInt(3000)));
        }
        endFaults(fleet);
        fleet.run(Duration.ofSeconds(60));
        Snapshot last = fleet.store.accept(content(random));
        assertThat(fleet.converges(last.revisionId(), CONVERGENCE_LIMIT))
                .as("seed %d %s", seed, trace)
                .isTrue();
        checkHistory(fleet, "seed " + seed + " " + trace);
    }

    @Test
    void rollingReplacementKeepsConfigurationWhileStoreIsDown() {
        VirtualFleet fleet = new VirtualFleet(9, HOSTS);
        fleet.run(Duration.ofSeconds(15));
        Snapshot accepted = fleet.store.accept(content(new SplittableRandom(1)));
        assertThat(fleet.converges(accepted.revisionId(), CONVERGENCE_LIMIT)).isTrue();
        fleet.store.down(true);
        for (int i = 0; i < HOSTS; i++) {
            fleet.host(i).membership().leave();
            fleet.run(Duration.ofSeconds(2));
            fleet.host(i).hostTimer().kill();
            fleet.start(i);
            fleet.run(Duration.ofSeconds(5));
        }
        assertThat(fleet.converges(accepted.revisionId(), Duration.ofSeconds(3)))
                .isTrue();
        checkHistory(fleet, "replacement");
    }

    @Test
    void regionCutOffForAnHourCatchesUpAndRevertsNoHost() {
        VirtualFleet fleet = new VirtualFleet(10, HOSTS);
        fleet.run(Duration.ofSeconds(15));
        SplittableRandom random = new SplittableRandom(2);
        assertThat(fleet.converges(fleet.store.accept(content(random)).revisionId(), CONVERGENCE_LIMIT))
                .isTrue();
        cutOff(fleet, "delta");
        fleet.store.down(true);
        Snapshot accepted = fleet.store.accept(content(random));
        fleet.host(0).offer(accepted);
        fleet.run(Duration.ofHours(1));
        fleet.network.cut((from, to) -> false);
        assertThat(fleet.converges(accepted.revisionId(), CONVERGENCE_LIMIT)).isTrue();
        checkHistory(fleet, "region");
    }

    private void injectFault(VirtualFleet fleet, SplittableRandom random) {
        int index = random.nextInt(HOSTS);
        int fault = random.nextInt(16);
        trace.add(fault + ":" + index);
        switch (fault) {
            case 0, 1 -> fleet.host(index).hostTimer().pause(Duration.ofMillis(random.nextInt(40_000)));
            case 2 -> {
                fleet.host(index).hostTimer().kill();
                fleet.start(index);
            }
            case 3 -> fleet.host(index).hostTimer().kill();
            case 4 -> fleet.store.down(true);
            case 5 -> fleet.store.dropResponses(random.nextBoolean());
            case 6 -> fleet.store.delay(Duration.ofMillis(random.nextInt(8000)));
            case 7 -> cutOff(fleet, List.of("gulf", "piedmont", "delta").get(random.nextInt(3)));
            case 8 -> fleet.network.cut((from, to) -> false);
            case 9 -> fleet.network.loss(random.nextInt(3) * 0.1);
            case 10 -> restoreOlder(fleet, random);
            case 11 -> fleet.store.down(false);
            default -> acceptNotes(fleet, random, index);
        }
    }

    /**
     * Restores the store to one of its last revisions, which a live host can repair. Until it is repaired, no note is
     * accepted.
     */
    private static void restoreOlder(VirtualFleet fleet, SplittableRandom random) {
        fleet.store
                .current()
                .ifPresent(current ->
                        fleet.store.restoreTo(Math.max(1, current.revisionId().revision() - random.nextInt(3))));
    }

    private static void acceptNotes(VirtualFleet fleet, SplittableRandom random, int index) {
        long newest = fleet.store
                .accepted()
                .get(fleet.store.accepted().size() - 1)
                .revisionId()
                .revision();
        boolean behind = fleet.store.current().orElseThrow().revisionId().revision() < newest;
        if (behind) {
            return;
        }
        for (int note = random.nextInt(3); note >= 0; note--) {
            Snapshot accepted = fleet.store.accept(content(random));
            VirtualHost host = fleet.host(index);
            if (random.nextBoolean()) {
                host.hostTimer().run(() -> host.offer(accepted));
            }
        }
    }

    private static void cutOff(VirtualFleet fleet, String region) {
        fleet.network.cut((from, to) ->
                from.self().region().equals(region) != to.self().region().equals(region));
    }

    private static void endFaults(VirtualFleet fleet) {
        fleet.network.cut((from, to) -> false);
        fleet.network.loss(0);
        fleet.store.down(false);
        fleet.store.dropResponses(false);
        fleet.store.delay(Duration.ofMillis(2));
        for (int i = 0; i < HOSTS; i++) {
            if (!fleet.host(i).hostTimer().alive()) {
                fleet.start(i);
            }
        }
    }

    private static void checkHistory(VirtualFleet fleet, String description) {
        Set<RevisionId> accepted = new HashSet<>();
        fleet.store.accepted().forEach(snapshot -> accepted.add(snapshot.revisionId()));
        Map<String, Long> installed = new HashMap<>();
        Map<Long, String> digests = new HashMap<>();
        for (VirtualFleet.Installation i : fleet.history) {
            assertThat(accepted).as(description).contains(i.revisionId());
            assertThat(i.revisionId().revision())
                    .as("%s: revisions of %s increase", description, i.process())
                    .isGreaterThan(installed.getOrDefault(i.process(), 0L));
            installed.put(i.process(), i.revisionId().revision());
            String digest = digests.computeIfAbsent(
                    i.revisionId().revision(), revision -> i.revisionId().digest());
            assertThat(i.revisionId().digest())
                    .as("%s: one digest per revision", description)
                    .isEqualTo(digest);
        }
    }

    private static byte[] content(SplittableRandom random) {
        byte[] content = new byte[3000];
        for (int i = 0; i < 20; i++) {
            content[random.nextInt(content.length)] = (byte) random.nextInt();
        }
        return content;
    }
}
