package org.arbutusfield.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionFaultSimulationTest {
    private static final int HOSTS = 5;
    private static final List<Priority> PRIORITIES = List.of(Priority.values());
    private static final int STEPS = 2000;
    private static final int STEP_MILLIS = 5;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void invariantsHoldUnderFaults(long seed) {
        FaultyCluster cluster = new FaultyCluster(seed, HOSTS, 0.05);
        SplittableRandom random = new SplittableRandom(seed + 1000);
        for (int step = 0; step < STEPS; step++) {
            cluster.timer.advance(Duration.ofMillis(STEP_MILLIS));
            injectFault(cluster, random);
            List<String> names = List.copyOf(cluster.hosts.keySet());
            Priority priority = PRIORITIES.get(random.nextInt(PRIORITIES.size()));
            String host = names.get(random.nextInt(names.size()));
            if (!cluster.hosts.get(host).paused && random.nextInt(10) < 6) {
                cluster.requestSlot(host, "r" + step, priority, 100 + random.nextInt(900));
            }
        }
        cluster.hosts.values().forEach(host -> host.paused = false);
        cluster.timer.advance(Duration.ofSeconds(5));
        assertThat(cluster.violations).as("seed %s", seed).isEmpty();
        assertThat(cluster.sheds).as("sheds, seed %s", seed).isLessThan(cluster.completed / 4);
        cluster.hosts.values().forEach(host -> assertThat(host.client.waiting()).isZero());
        for (FaultyCluster.Host host : cluster.hosts.values()) {
            host.brokers()
                    .forEach(broker -> assertThat(broker.inUse("s1") + broker.inUse("s2") + broker.inUse("s3"))
                            .as("slots free at the end, seed %s", seed)
                            .isZero());
        }
    }

    @Test
    void withoutFaultsNoUpstreamShedsAndEveryRequestIsStartedOrRefused() {
        FaultyCluster cluster = new FaultyCluster(1, HOSTS, 0);
        cluster.timer.advance(Duration.ofSeconds(1));
        for (int step = 0; step < STEPS; step++) {
            cluster.timer.advance(Duration.ofMillis(STEP_MILLIS));
            cluster.requestSlot("h" + step % HOSTS, "r" + step, Priority.INTERACTIVE, 2000);
        }
        cluster.timer.advance(Duration.ofSeconds(5));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.sheds).isZero();
        assertThat(cluster.decisions.keySet()).isEqualTo(cluster.requested);
    }

    private static void injectFault(FaultyCluster cluster, SplittableRandom random) {
        List<String> names = List.copyOf(cluster.hosts.keySet());
        String name = names.get(random.nextInt(names.size()));
        switch (random.nextInt(300)) {
            case 0 -> {
                if (names.size() > 2) {
                    cluster.kill(name);
                }
            }
            case 1 -> cluster.restart("h" + random.nextInt(HOSTS));
            case 2 -> cluster.hosts.get(name).paused = true;
            case 3, 4 -> cluster.hosts.values().forEach(host -> host.paused = false);
            case 5 -> cluster.drain("s" + (1 + random.nextInt(3)));
            case 6 -> cluster.drain("");
            default -> {
                // no fault in this step
            }
        }
    }
}
