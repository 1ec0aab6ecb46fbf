package org.arbutusfield.affinity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import java.util.function.IntUnaryOperator;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Moves of a plan in calm and after changes of the upstreams, with 0.55 of the slots busy, as the design page counts.
 */
class HomePlanMovesTest {
    private static final int CALM_START = 40;
    private static final int CALM = 20;

    static IntUnaryOperator slots(int large, int small) {
        return i -> i % 3 == 2 ? small : large;
    }

    /** Measures one row of the table in {@code docs/design/affinity.md}; asserts churn, moves and shares. */
    @ParameterizedTest
    @CsvSource({
        "16,   100,   0.3, 6, 6",
        "168,  463,   0,   6, 6",
        "168,  463,   0.3, 6, 6",
        "168,  463,   0.3, 9, 3",
        "168,  4000,  0.3, 6, 6",
    })
    void movesAreMeasured(int upstreams, int objects, double noise, int large, int small) {
        PlanLoadGenerator removal = PlanLoadGenerator.of(upstreams, objects, noise, slots(large, small), 1);
        int settling = removal.run(CALM_START);
        int churn = removal.run(CALM);
        double calmPeak = removal.busiestOverMean();
        long micros = removal.lastSecondMicros();
        int leastRemoved = removal.removeFirst(upstreams / 9);
        int movedRemoved = removal.run(CALM);
        PlanLoadGenerator addition = PlanLoadGenerator.of(upstreams, objects, noise, slots(large, small), 1);
        addition.run(CALM_START + CALM);
        int added = upstreams * 3 / 10;
        int leastAdded = addition.add(added);
        int movedAdded = addition.run(10);
        double load = addition.shareOfLoad(added);
        long addedMicros = addition.lastSecondMicros();
        movedAdded += addition.run(CALM - 10);
        System.out.printf(
                Locale.ROOT,
                "plan %d/%d/%.1f/%d,%d settling=%d churn=%d calmPeak=%.2f removed=%d,%d peak=%.2f "
                        + "added=%d,%d share=%.3f,%.3f peak=%.2f second_us=%d,%d%n",
                upstreams,
                objects,
                noise,
                large,
                small,
                settling,
                churn,
                calmPeak,
                movedRemoved,
                leastRemoved,
                removal.busiestOverMean(),
                movedAdded,
                leastAdded,
                load,
                addition.shareOfSlots(added),
                addition.busiestOverMean(),
                micros,
                addedMicros);
        assertThat(churn).as("churn").isLessThanOrEqualTo(objects / 200);
        assertThat(movedRemoved).as("removed").isBetween(leastRemoved, (int) (1.1 * leastRemoved) + 1);
        assertThat(movedAdded).as("added").isLessThanOrEqualTo((int) (1.1 * leastAdded));
        assertThat(load).as("share").isCloseTo(addition.shareOfSlots(added), Offset.offset(0.05));
    }

    /** Measures the time of a second of the largest service; the time is printed and not asserted. */
    @Test
    void secondOfALargePlanIsMeasured() {
        PlanLoadGenerator large = PlanLoadGenerator.of(1500, 12_000, 0.3, slots(6, 6), 1);
        for (int second = 0; second < 5; second++) {
            large.run(1);
            System.out.printf("plan 1500/12000 second=%d second_us=%d%n", second, large.lastSecondMicros());
        }
        assertThat(large.homes()).hasSize(12_000);
    }
}
