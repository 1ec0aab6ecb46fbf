package org.arbutusfield.lab.shift;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Compares methods of choosing a region while one region fails or gets 150 % load, and prints a Markdown table. */
public final class SpillExperiment {
    private static final int SECONDS = 80;
    private static final long SEED = 7;
    private static final int RAMP_SECONDS = 10;

    private SpillExperiment() {}

    /** Runs all setups; takes no arguments. */
    public static void main(String[] arguments) {
        System.out.println("| setup | method | p50 ms | p99 ms | refused % | worst load of a region |"
                + " changes of direction/min | worst moved share in 10 s (cap per target) |");
        System.out.println("|---|---|---:|---:|---:|---:|---:|---:|");
        setups().forEach((name, setup) -> {
            for (SpillSimulation.Method method : SpillSimulation.Method.values()) {
                SpillSimulation.Result result = SpillSimulation.run(SEED, setup, method, SECONDS);
                System.out.printf(
                        "| %s | %s | %.1f | %.1f | %.2f | %.2f | %.1f | %.3f (%.2f) |%n",
                        name,
                        method,
                        result.p50(),
                        result.p99(),
                        100 * result.refused(),
                        result.worstLoad(),
                        result.directionChangesPerMinute(),
                        result.movedShare(),
                        setup.maxShare());
            }
        });
    }

    private static Map<String, SpillSimulation.Setup> setups() {
        Map<String, SpillSimulation.Setup> setups = new LinkedHashMap<>();
        setups.put("Magnolia, region at 150 %", magnolia(false, 0.3, RAMP_SECONDS));
        setups.put("Magnolia, region at 150 %, warm", magnolia(false, 0.3, 0));
        setups.put("Magnolia, region fails", magnolia(true, 1, RAMP_SECONDS));
        setups.put("Magnolia, region fails, warm", magnolia(true, 1, 0));
        setups.put("Sun Safety, region at 150 %", sunSafety(false, 0.3, RAMP_SECONDS));
        setups.put("Sun Safety, region at 150 %, warm", sunSafety(false, 0.3, 0));
        setups.put("Sun Safety, region fails", sunSafety(true, 1, RAMP_SECONDS));
        setups.put("Sun Safety, region fails, warm", sunSafety(true, 1, 0));
        return setups;
    }

    private static SpillSimulation.Setup magnolia(boolean fails, double maxShare, int ramp) {
        return new SpillSimulation.Setup(List.of(18, 15, 15), 30, 12, 1, 3, 1_000, fails, maxShare, ramp);
    }

    private static SpillSimulation.Setup sunSafety(boolean fails, double maxShare, int ramp) {
        return new SpillSimulation.Setup(List.of(54, 54, 54), 20, 35, 3, 1, 1_000, fails, maxShare, ramp);
    }
}
