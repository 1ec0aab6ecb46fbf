package org.arbutusfield.lab.shift;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares two methods of enforcing a cap on shifted traffic, shares with lent permits and a central counter, by the
 * requests that all hosts move relative to the cap.
 *
 * <p>Prints a Markdown table. Demand exceeds the cap, so the used share of the cap shows how much a method wastes.
 */
public final class CapExperiment {
    private static final int SECONDS = 240;
    private static final long[] SEEDS = {1, 2, 3, 4, 5};

    private CapExperiment() {}

    /** Runs all schedules; takes no arguments. */
    public static void main(String[] arguments) {
        System.out.println("| faults | method | worst interval / cap | mean use of the cap |");
        System.out.println("|---|---|---:|---:|");
        schedules().forEach((name, faults) -> {
            for (CapSimulation.Method method : CapSimulation.Method.values()) {
                System.out.println(row(name, faults, method));
            }
        });
    }

    private static Map<String, CapSimulation.Faults> schedules() {
        int ticks = SECONDS * 100;
        Map<String, CapSimulation.Faults> schedules = new LinkedHashMap<>();
        schedules.put("none", CapSimulation.Faults.none(SECONDS));
        schedules.put("none, a quarter of the hosts gets 4 x demand", faults(0, 0, 0, 0, 4));
        schedules.put("a death every 3 s", faults(0.3, 0, 0, 0, 1));
        schedules.put("a pause of up to 20 s every 3 s", faults(0, 0.3, 0, 0, 1));
        schedules.put("5 % of messages lost, doubled, late", faults(0, 0, 0.05, 0, 1));
        schedules.put("store away for the middle third", faults(0, 0, 0, ticks / 3, 1));
        schedules.put("all of it, cap changes every 40 s", CapSimulation.Faults.all(SECONDS));
        return schedules;
    }

    private static CapSimulation.Faults faults(double deaths, double pauses, double lost, int storeFrom, double skew) {
        int ticks = SECONDS * 100;
        return new CapSimulation.Faults(ticks, deaths, pauses, lost, storeFrom, 2 * storeFrom, false, skew);
    }

    private static String row(String name, CapSimulation.Faults faults, CapSimulation.Method method) {
        double worst = 0;
        double used = 0;
        for (long seed : SEEDS) {
            CapSimulation.Result result = CapSimulation.run(seed, faults, method);
            worst = Math.max(worst, result.worstRatio());
            used += result.used() / SEEDS.length;
        }
        return String.format("| %s | %s | %.3f | %.3f |", name, method, worst, used);
    }
}
