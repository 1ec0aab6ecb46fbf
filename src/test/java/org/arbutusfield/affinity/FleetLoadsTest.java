package org.arbutusfield.affinity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.UpstreamLoad;
import org.junit.jupiter.api.Test;

/** Loads that hosts tell the planner of a service. */
class FleetLoadsTest {
    private static final long SECOND = 1_000_000_000L;

    private final FleetLoads loads = FleetLoads.create();

    private static UpstreamLoad load(String upstream, long start, int running, long ageMillis) {
        return new UpstreamLoad(upstream, start, running, 0, 6, ageMillis * 1000);
    }

    /** Guards against answers that grow with the number of upstreams, and against idle ones that are taken for busy. */
    @Test
    void onlyUpstreamsWithoutRoomAreTold() {
        UpstreamLoad slow = load("slow", 1, 0, 0).setSlowness(12);
        loads.merge("s", List.of(load("full", 1, 6, 100), load("idle", 1, 5, 100), slow), SECOND);
        assertThat(loads.withoutRoom("s", SECOND))
                .extracting(UpstreamLoad::getUpstream)
                .containsExactlyInAnyOrder("full", "slow");
        assertThat(loads.withoutRoom("other", SECOND)).isEmpty();
    }

    /** Guards against a host that reports late, or knows only an earlier start, and replaces what is newer. */
    @Test
    void newestLoadOfTheLatestStartIsTold() {
        loads.merge("s", List.of(load("u", 2, 6, 100)), SECOND);
        loads.merge("s", List.of(load("u", 2, 0, 500)), SECOND);
        loads.merge("s", List.of(load("u", 1, 0, 0)), SECOND);
        assertThat(loads.withoutRoom("s", SECOND)).hasSize(1);
        loads.merge("s", List.of(load("u", 2, 0, 0)), SECOND);
        assertThat(loads.withoutRoom("s", SECOND)).isEmpty();
    }

    /** Guards against loads that are told on as new each second although no host hears from the upstream any more. */
    @Test
    void loadsKeepTheirAgeAndAreForgotten() {
        loads.merge("s", List.of(load("u", 1, 6, 300)), SECOND);
        assertThat(loads.withoutRoom("s", 2 * SECOND).get(0).getAgeMicros()).isEqualTo(1_300_000);
        assertThat(loads.withoutRoom("s", 3 * SECOND)).isEmpty();
    }

    /** Guards against answers to older builds that hold what they didn't ask for. */
    @Test
    void onlyQuestionsWithLoadsAreAnsweredWithLoads() {
        VirtualTimer timer = VirtualTimer.create();
        HomePlanner planner = HomePlanner.create(SteeringState::empty, timer);
        HomeQuestion question = new HomeQuestion("s", List.of(), 0, 0).setLoads(List.of(load("u", 1, 6, 0)));
        HomeAnswer answer = planner.answer(question);
        assertThat(answer.getLoads()).extracting(UpstreamLoad::getUpstream).containsExactly("u");
        assertThat(planner.answer(new HomeQuestion("s", List.of(), 0, 0)).isSetLoads())
                .isFalse();
    }
}
