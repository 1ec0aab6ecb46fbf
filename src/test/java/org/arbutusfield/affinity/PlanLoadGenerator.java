package org.arbutusfield.affinity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import java.util.function.ToDoubleBiFunction;

/**
 * Drives a plan with reports in virtual time, one report for each object and second, and counts the moves.
 *
 * <p>Objects have 0.5 to 1.5 times the mean load. The noise of a report is normally distributed around the object's
 * load, independently for each second.
 */
final class PlanLoadGenerator {
    private static final long SECOND = 1_000_000_000L;
    private static final double BUSY_FRACTION = 0.55;

    private final double[] load;
    private final double noise;
    private final IntUnaryOperator slots;
    private final SplittableRandom random;
    private HomePlan plan = HomePlan.create();
    private List<Candidate> upstreams;
    private Map<Long, String> homes = Map.of();
    private ToDoubleBiFunction<Integer, Integer> wave = (object, second) -> 1;
    private double lostReports;
    private int second;
    private long lastSecondMicros;

    private PlanLoadGenerator(double[] load, double noise, IntUnaryOperator slots, SplittableRandom random, int count) {
        this.load = load;
        this.noise = noise;
        this.slots = slots;
        this.random = random;
        this.upstreams = upstreams(0, count);
    }

    /**
     * Creates a generator that keeps 0.55 of the slots of the first upstreams busy.
     *
     * @param upstreams number of upstreams at the start
     * @param objects number of objects
     * @param noise standard deviation of a report, relative to the load of the object
     * @param slots slots of an upstream by its number
     * @param seed seed of all random choices
     */
    static PlanLoadGenerator of(int upstreams, int objects, double noise, IntUnaryOperator slots, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] load = new double[objects];
        double total = 0;
        for (int i = 0; i < objects; i++) {
            load[i] = 0.5 + random.nextDouble();
            total += load[i];
        }
        double busy = 0;
        for (int i = 0; i < upstreams; i++) {
            busy += BUSY_FRACTION * slots.applyAsInt(i);
        }
        for (int i = 0; i < objects; i++) {
            load[i] *= busy / total;
        }
        return new PlanLoadGenerator(load, noise, slots, random, upstreams);
    }

    /** Multiplies the load of each object by a factor that depends on the object and the second. */
    PlanLoadGenerator withWave(ToDoubleBiFunction<Integer, Integer> factor) {
        wave = factor;
        return this;
    }

    /** Loses a fraction of the reports, chosen at random. */
    PlanLoadGenerator withLostReports(double fraction) {
        lostReports = fraction;
        return this;
    }

    /** Replaces the plan by an empty one, as a new planner has. */
    void replacePlan() {
        plan = HomePlan.create();
    }

    /** Replaces the plan by an empty one, and lets hosts report these homes to it. */
    void adopt(Map<Long, String> reported) {
        plan = HomePlan.create();
        homes = reported;
    }

    /** Runs for some seconds; returns how often an object's home changed. */
    int run(int seconds) {
        int moves = 0;
        for (int i = 0; i < seconds; i++) {
            Map<Long, String> before = homes;
            runSecond();
            for (Map.Entry<Long, String> home : homes.entrySet()) {
                String last = before.get(home.getKey());
                moves += last == null || last.equals(home.getValue()) ? 0 : 1;
            }
        }
        return moves;
    }

    private void runSecond() {
        List<ObjectReport> reports = new ArrayList<>();
        for (int i = 0; i < load.length; i++) {
            double busy = load[i] * wave.applyAsDouble(i, second) * (1 + noise * random.nextGaussian());
            boolean lost = second > 0 && random.nextDouble() < lostReports;
            int requests = second == 0 ? 0 : 1;
            if (!lost) {
                reports.add(new ObjectReport(
                        "r",
                        i,
                        requests,
                        0,
                        (long) (requests * Math.max(0, busy) * 1e6),
                        homes.getOrDefault((long) i, "")));
            }
        }
        long start = System.nanoTime();
        plan.assignHomes(reports, upstreams, second * SECOND);
        plan.advance(upstreams, second * SECOND);
        lastSecondMicros = (System.nanoTime() - start) / 1000;
        homes = plan.homes();
        second++;
    }

    /** Removes the first upstreams; returns the number of objects that were at home there. */
    int removeFirst(int count) {
        List<String> removed =
                upstreams.subList(0, count).stream().map(Candidate::name).toList();
        upstreams = List.copyOf(upstreams.subList(count, upstreams.size()));
        return (int) homes.values().stream().filter(removed::contains).count();
    }

    /** Adds upstreams; returns the least number of moves that gives them their share of objects of mean load. */
    int add(int count) {
        int last = Integer.parseInt(upstreams.get(upstreams.size() - 1).name().substring(1));
        List<Candidate> added = upstreams(last + 1, last + 1 + count);
        List<Candidate> all = new ArrayList<>(upstreams);
        all.addAll(added);
        upstreams = all;
        return (int) Math.ceil(shareOfSlots(count) * load.length);
    }

    /** Fraction of the slots that the last upstreams have. */
    double shareOfSlots(int last) {
        return slots(upstreams.subList(upstreams.size() - last, upstreams.size())) / slots(upstreams);
    }

    /** Fraction of the load, without noise, that is at home at the last upstreams. */
    double shareOfLoad(int last) {
        Map<String, Double> sums = sums();
        return sum(sums, upstreams.subList(upstreams.size() - last, upstreams.size())) / sum(sums, upstreams);
    }

    /** Load per slot of the busiest upstream, without noise, relative to the mean. */
    double busiestOverMean() {
        Map<String, Double> sums = sums();
        double mean = sum(sums, upstreams) / slots(upstreams);
        return upstreams.stream()
                .mapToDouble(u -> sums.getOrDefault(u.name(), 0.0) / u.slots() / mean)
                .max()
                .orElse(0);
    }

    /** Time that the reports and the end of the last second's period took, in microseconds. */
    long lastSecondMicros() {
        return lastSecondMicros;
    }

    Map<Long, String> homes() {
        return homes;
    }

    private Map<String, Double> sums() {
        Map<String, Double> sums = new HashMap<>();
        homes.forEach((key, home) -> sums.merge(home, load[key.intValue()], Double::sum));
        return sums;
    }

    private static double sum(Map<String, Double> sums, List<Candidate> upstreams) {
        return upstreams.stream()
                .mapToDouble(u -> sums.getOrDefault(u.name(), 0.0))
                .sum();
    }

    private static double slots(List<Candidate> upstreams) {
        return upstreams.stream().mapToInt(Candidate::slots).sum();
    }

    private List<Candidate> upstreams(int from, int to) {
        List<Candidate> created = new ArrayList<>();
        for (int i = from; i < to; i++) {
            created.add(Candidate.of("u" + i, slots.applyAsInt(i)));
        }
        return created;
    }
}
