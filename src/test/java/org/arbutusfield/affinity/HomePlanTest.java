package org.arbutusfield.affinity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Assignment and rebalancing of objects, with loads that hashing alone spreads unevenly. */
class HomePlanTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double MAX_LOAD_OVER_MEAN = 1.5;

    private static List<Candidate> upstreams(int count) {
        List<Candidate> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(Candidate.of("u" + i, 3));
        }
        return upstreams;
    }

    private static ObjectReport emptyReport(long key) {
        return new ObjectReport("r", key, 0, 0, 0, "");
    }

    /**
     * At the start of a day no object has a home yet; hashing alone would spread 48 objects unevenly over 16 upstreams.
     */
    @Test
    void newObjectsAreSpreadEvenlyOverUpstreams() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(16);
        Map<String, Integer> objects = new HashMap<>();
        for (long key = 0; key < 48; key++) {
            objects.merge(
                    plan.assignHome(emptyReport(key), upstreams, 0)
                            .orElseThrow()
                            .name(),
                    1,
                    Integer::sum);
        }
        assertThat(objects.values()).containsOnly(3);
    }

    @Test
    void objectKeepsItsHomeWhenOthersAreAdded() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(4);
        String home =
                plan.assignHome(emptyReport(7), upstreams, 0).orElseThrow().name();
        for (int i = 0; i < 100; i++) {
            plan.assignHome(emptyReport(100 + i), upstreams, i);
            assertThat(plan.assignHome(emptyReport(7), upstreams, i)
                            .orElseThrow()
                            .name())
                    .isEqualTo(home);
        }
    }

    @Test
    void objectOfARemovedUpstreamKeepsItsNewHome() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(3);
        Candidate removed = plan.assignHome(emptyReport(7), upstreams, 0).orElseThrow();
        List<Candidate> rest =
                upstreams.stream().filter(u -> !u.equals(removed)).toList();
        Candidate next = plan.assignHome(emptyReport(7), rest, 1).orElseThrow();
        assertThat(rest).contains(next);
        assertThat(plan.assignHome(emptyReport(7), upstreams, 2)).contains(next);
    }

    /** A new planner starts without homes and has to adopt those that hosts report. */
    @Test
    void newPlanAdoptsHomesThatHostsReport() {
        HomePlan plan = HomePlan.create();
        assertThat(plan.assignHome(new ObjectReport("r", 7, 3, 0, 1000, "u2"), upstreams(4), 0))
                .contains(Candidate.of("u2", 3));
    }

    /** Object loads are uneven when traffic is high, so equal object counts overload some upstreams. */
    @Test
    void unevenObjectLoadsAreBalanced() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(8);
        Random random = new Random(3);
        double[] busySlots = new double[40];
        double total = 0;
        for (int i = 0; i < busySlots.length; i++) {
            busySlots[i] = 0.1 + 0.9 * Math.pow(random.nextDouble(), 2);
            total += busySlots[i];
        }
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < busySlots.length; i++) {
                plan.assignHome(
                        new ObjectReport("r", i, 5, 0, (long) (busySlots[i] * 1e6), ""), upstreams, second * SECOND);
            }
            plan.advance(upstreams, second * SECOND);
        }
        double mean = total / upstreams.size();
        for (Candidate upstream : upstreams) {
            assertThat(plan.load(upstream.name())).isLessThan(mean * MAX_LOAD_OVER_MEAN);
        }
    }

    /** When a service grows, the added upstreams must be assigned objects too. */
    @Test
    void addedUpstreamsAreAssignedObjects() {
        HomePlan plan = HomePlan.create();
        List<Candidate> few = upstreams(4);
        List<Candidate> more = upstreams(7);
        for (int second = 0; second < 12; second++) {
            List<Candidate> current = second < 6 ? few : more;
            for (long key = 0; key < 24; key++) {
                plan.assignHome(new ObjectReport("r", key, 1, 0, 50_000, ""), current, second * SECOND);
            }
            plan.advance(current, second * SECOND);
        }
        more.forEach(u -> assertThat(plan.load(u.name())).isPositive());
    }

    /** After a failure of all hosts, the new planner adopts the stored homes, where the objects are still warm. */
    @Test
    void newPlanAdoptsStoredHomes() {
        List<Candidate> upstreams = upstreams(16);
        HomePlan before = HomePlan.create();
        for (long key = 0; key < 48; key++) {
            before.assignHome(emptyReport(key), upstreams, 0);
        }
        HomePlan after = HomePlan.withStoredHomes(before.homes());
        for (long key = 47; key >= 0; key--) {
            assertThat(after.assignHome(emptyReport(key), upstreams, 0))
                    .isEqualTo(before.assignHome(emptyReport(key), upstreams, 0));
        }
    }

    /**
     * The reports of all hosts together show that one upstream is slow, unreachable or partly failing; its objects move
     * away.
     */
    @ParameterizedTest
    @CsvSource({"slow, 4, 0, 5000", "dead, 0, 3, 0", "partly failing, 3, 3, 600"})
    void objectsMoveAwayFromAnOutlier(String fault, int answered, int failed, long millis) {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(8);
        for (int second = 0; second < 4; second++) {
            for (long key = 0; key < 24; key++) {
                String home = plan.assignHome(emptyReport(key), upstreams, second * SECOND)
                        .orElseThrow()
                        .name();
                ObjectReport report = home.equals("u3")
                        ? new ObjectReport("r", key, answered, failed, millis * 1000, home)
                        : new ObjectReport("r", key, 4, 0, 800_000, home);
                plan.assignHome(report, upstreams, second * SECOND);
            }
            plan.advance(upstreams, second * SECOND);
        }
        for (long key = 0; key < 24; key++) {
            assertThat(plan.assignHome(emptyReport(key), upstreams, 4 * SECOND - 1)
                            .orElseThrow()
                            .name())
                    .isNotEqualTo("u3");
        }
    }

    /**
     * When all upstreams fail alike, for instance because of overload, none is an outlier, and every object keeps its
     * home.
     */
    @Test
    void noUpstreamIsAvoidedWhenAllFail() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(4);
        Map<Long, String> first = new HashMap<>();
        for (int second = 0; second < 3; second++) {
            for (long key = 0; key < 8; key++) {
                String home = plan.assignHome(emptyReport(key), upstreams, second * SECOND)
                        .orElseThrow()
                        .name();
                first.putIfAbsent(key, home);
                assertThat(home).isEqualTo(first.get(key));
                plan.assignHome(new ObjectReport("r", key, 0, 5, 0, home), upstreams, second * SECOND);
            }
        }
    }

    /** A host without a plan gets the whole plan in steps, and after that only the changes. */
    @Test
    void changesAreReturnedOnceAndInOrder() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(4);
        for (long key = 0; key < 5; key++) {
            plan.assignHome(emptyReport(key), upstreams, 0);
        }
        PlanChanges first = plan.changesSince(0, 3);
        PlanChanges second = plan.changesSince(first.version(), 3);
        assertThat(first.homes()).containsOnlyKeys(0L, 1L, 2L);
        assertThat(second.homes()).containsOnlyKeys(3L, 4L);
        plan.assignHome(emptyReport(1), List.of(upstreams.get(0)), 0);
        plan.assignHome(emptyReport(5), upstreams, 0);
        assertThat(plan.changesSince(second.version(), 3).homes())
                .containsKey(5L)
                .doesNotContainKeys(0L, 3L, 4L);
        assertThat(plan.changesSince(0, 9).homes()).isEqualTo(plan.homes());
    }

    @Test
    void unusedObjectsAreRemoved() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = upstreams(2);
        plan.assignHome(emptyReport(1), upstreams, 0);
        plan.advance(upstreams, 0);
        plan.advance(upstreams, 40 * SECOND);
        assertThat(plan.size()).isZero();
    }

    /**
     * Load of the busiest upstream after ten seconds of skewed load on 20 objects for each upstream, relative to the
     * least possible one, which is the mean or the heaviest object.
     */
    private static double imbalanceAfterTenSeconds(int upstreams, long seed) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            candidates.add(new Candidate("u" + i, 3, WeightedRendezvous.hash("u" + i)));
        }
        SplittableRandom random = new SplittableRandom(seed);
        int objects = 20 * upstreams;
        double[] load = new double[objects];
        for (int i = 0; i < objects; i++) {
            // Mean 0.075 busy slots, half of the slots of all upstreams together; a few objects have many times that.
            load[i] = 0.075 * -Math.log1p(-random.nextDouble()) * -Math.log1p(-random.nextDouble());
        }
        HomePlan plan = HomePlan.create();
        Map<Integer, String> homes = new HashMap<>();
        for (int second = 0; second <= 10; second++) {
            long now = second * 1_000_000_000L;
            for (int i = 0; i < objects; i++) {
                ObjectReport report = new ObjectReport(
                        "r", i, second == 0 ? 0 : 1, 0, (long) (load[i] * 1e6), homes.getOrDefault(i, ""));
                homes.put(
                        i,
                        plan.assignHome(report, candidates, now).orElseThrow().name());
            }
            plan.advance(candidates, now + 999_999_999L);
        }
        Map<String, Double> sums = new HashMap<>();
        double total = 0;
        double heaviest = 0;
        for (int i = 0; i < objects; i++) {
            sums.merge(homes.get(i), load[i], Double::sum);
            total += load[i];
            heaviest = Math.max(heaviest, load[i]);
        }
        double busiest =
                sums.values().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        return busiest / Math.max(total / upstreams, heaviest);
    }

    /** Load pattern: skewed load on a large service. It is balanced as fast as a small one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void largeServiceIsBalancedAsFastAsASmallOne(long seed) {
        assertThat(imbalanceAfterTenSeconds(193, seed)).isLessThan(1.25 * imbalanceAfterTenSeconds(16, seed));
    }
}
