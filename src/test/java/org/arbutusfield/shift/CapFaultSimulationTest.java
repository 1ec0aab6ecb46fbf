package org.arbutusfield.shift;

import static org.assertj.core.api.Assertions.assertThat;

import org.arbutusfield.lab.shift.CapSimulation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CapFaultSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105, 106})
    void sumOverAllHostsStaysUnderTheCapWithAllFaults(long seed) {
        CapSimulation.Result result =
                CapSimulation.run(seed, CapSimulation.Faults.all(200), CapSimulation.Method.SHARES);
        assertThat(result.worstRatio()).as("seed %d", seed).isLessThanOrEqualTo(1.0);
        assertThat(result.used()).as("seed %d", seed).isGreaterThan(0.4);
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202})
    void pausesAloneKeepTheCap(long seed) {
        CapSimulation.Faults pauses = new CapSimulation.Faults(15_000, 0, 2, 0.1, 0, 0, true, 1);
        assertThat(CapSimulation.run(seed, pauses, CapSimulation.Method.SHARES).worstRatio())
                .as("seed %d", seed)
                .isLessThanOrEqualTo(1.0);
    }

    @ParameterizedTest
    @ValueSource(longs = {301, 302})
    void rapidReplacementKeepsTheCap(long seed) {
        CapSimulation.Faults replacements = new CapSimulation.Faults(15_000, 4, 0, 0, 0, 0, false, 1);
        assertThat(CapSimulation.run(seed, replacements, CapSimulation.Method.SHARES)
                        .worstRatio())
                .as("seed %d", seed)
                .isLessThanOrEqualTo(1.0);
    }

    @Test
    void baseSharesRemainUsableWithoutStore() {
        CapSimulation.Faults storeDown = new CapSimulation.Faults(10_000, 0, 0, 0, 0, 10_000, false, 1);
        CapSimulation.Result result = CapSimulation.run(1, storeDown, CapSimulation.Method.SHARES);
        assertThat(result.used()).isBetween(0.42, 0.5);
        assertThat(result.worstRatio()).isLessThanOrEqualTo(0.5);
    }
}
