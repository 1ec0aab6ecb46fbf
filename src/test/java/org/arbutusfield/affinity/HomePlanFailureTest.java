package org.arbutusfield.affinity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Moves of a plan when planners, reports or demand are not as they should be; objects have 30 % noise. */
class HomePlanFailureTest {
    private static final int OBJECTS = 463;

    private static PlanLoadGenerator generator() {
        return PlanLoadGenerator.of(168, OBJECTS, 0.3, i -> 6, 1);
    }

    /** A planner that starts in the middle of a change adopted the homes and then moved what it did not know yet. */
    @Test
    void nextPlannerAdoptsTheHomesInTheMiddleOfAChange() {
        PlanLoadGenerator load = generator();
        load.run(40);
        int least = load.add(50);
        int moves = load.run(2);
        Map<Long, String> before = load.homes();
        load.replacePlan();
        assertThat(load.run(1)).isZero();
        assertThat(load.homes()).isEqualTo(before);
        moves += load.run(20);
        assertThat(moves).isLessThanOrEqualTo((int) (1.1 * least));
    }

    /** Reports that are lost must not look like objects without load. */
    @Test
    void lostReportsMoveNearlyNothing() {
        PlanLoadGenerator load = generator().withLostReports(0.3);
        load.run(60);
        assertThat(load.run(20)).isLessThanOrEqualTo(OBJECTS / 100);
    }

    /** Two planners that are asked by different hosts must not move objects of which each knows a part of the load. */
    @Test
    void twoPlannersKeepTheHomesOfEachOther() {
        PlanLoadGenerator load = generator();
        load.run(60);
        Map<Long, String> before = load.homes();
        PlanLoadGenerator other = generator();
        other.run(60);
        other.adopt(before);
        int moves = other.withWave((object, second) -> 0.5).run(20)
                + load.withWave((object, second) -> 0.5).run(20);
        assertThat(moves).isLessThanOrEqualTo(2 * OBJECTS / 100);
    }

    /** A demand wave of +-55 % with two halves of the objects out of step is no reason to move them back and forth. */
    @Test
    void demandWaveMovesFewObjects() {
        PlanLoadGenerator load = generator()
                .withWave((object, second) -> 1 + 0.55 * Math.sin(2 * Math.PI * (second / 36.0 + (object % 2) / 2.0)));
        load.run(72);
        int moves = load.run(72);
        System.out.printf("plan wave moves=%d in two periods%n", moves);
        assertThat(moves).isLessThanOrEqualTo(OBJECTS / 20);
    }

    /** A host with an old plan reports a home that the object has left; the plan must not follow it. */
    @Test
    void reportOfAnOldHomeDoesNotMoveTheObject() {
        HomePlan plan = HomePlan.create();
        List<Candidate> upstreams = List.of(Candidate.of("u0", 6), Candidate.of("u1", 6));
        plan.assignHome(new ObjectReport("r", 7, 1, 0, 1000, "u0"), upstreams, 0);
        plan.assignHome(new ObjectReport("r", 7, 1, 0, 1000, "u1"), upstreams, 1);
        assertThat(plan.homes()).containsEntry(7L, "u0");
    }
}
