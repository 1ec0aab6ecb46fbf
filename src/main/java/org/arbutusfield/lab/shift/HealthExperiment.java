package org.arbutusfield.lab.shift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.arbutusfield.health.GroupLatency;
import org.arbutusfield.health.HealthSignal;
import org.arbutusfield.health.PanicThreshold;
import org.arbutusfield.health.UpstreamHealth;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Compares health rules on one group of servers with a gray, a flapping and a dead one, and with wrong health data.
 *
 * <p>One client sends at 60 % of the healthy slots, picks the less busy of two servers drawn by share, and retries a
 * failed connection once elsewhere. Prints a Markdown table.
 */
public final class HealthExperiment {
    private static final long SEED = 11;
    private static final Duration RUN = Duration.ofMinutes(2);
    private static final double SERVICE_MILLIS = 20;
    private static final double GRAY_FACTOR = 8;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration FLAP = Duration.ofSeconds(3);
    private static final int SLOTS = 3;

    private final VirtualTimer timer = VirtualTimer.create();
    private final Random random = new Random(SEED);
    private final Map<String, UpstreamHealth> health = new TreeMap<>();
    private final Map<String, Long> freeAtNanos = new HashMap<>();
    private final Map<String, Integer> busy = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(600_000_000L, 3);
    private final Rule rule;
    private final boolean wrongData;
    private Map<String, Double> shares = Map.of();
    private long median;
    private long errors;
    private long sent;

    private HealthExperiment(int servers, Rule rule, boolean wrongData) {
        this.rule = rule;
        this.wrongData = wrongData;
        for (int i = 0; i < servers; i++) {
            names.add(String.format("s%02d", i));
        }
        names.forEach(name -> health.put(name, UpstreamHealth.unknown(0)));
    }

    private enum Rule {
        NO_EJECTION,
        EJECTION_WITHOUT_FLOOR,
        OWN
    }

    /** Runs all cases; takes no arguments. */
    public static void main(String[] arguments) {
        System.out.println("| case | servers | rule | failed % | p50 ms | p99 ms |");
        System.out.println("|---|---:|---|---:|---:|---:|");
        for (boolean wrongData : new boolean[] {false, true}) {
            for (int servers : new int[] {16, 18}) {
                for (Rule rule : Rule.values()) {
                    System.out.println(new HealthExperiment(servers, rule, wrongData).row());
                }
            }
        }
    }

    private String row() {
        timer.every(Duration.ofMillis(100), this::observe);
        observe();
        arrive();
        timer.advance(RUN);
        return String.format(
                "| %s | %d | %s | %.3f | %.1f | %.1f |",
                wrongData
                        ? "every answer measured as slow for 30 s, all servers well"
                        : "one gray, one flapping, one dead",
                names.size(),
                rule,
                100.0 * errors / sent,
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3);
    }

    private void observe() {
        long now = timer.nowNanos();
        median = GroupLatency.median(
                health.values().stream().map(UpstreamHealth::meanNanos).toList());
        Map<String, Double> next = new TreeMap<>();
        switch (rule) {
            case NO_EJECTION -> names.forEach(name -> next.put(name, 1.0));
            case EJECTION_WITHOUT_FLOOR -> health.forEach((name, known) -> next.put(name, known.share(now)));
            default -> next.putAll(PanicThreshold.shares(health, now));
        }
        shares = next;
    }

    private void arrive() {
        double perMilli = 0.6 * SLOTS * (names.size() - (wrongData ? 0 : 3)) / SERVICE_MILLIS;
        double waitMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        timer.after(Duration.ofNanos((long) (waitMillis * 1e6)), () -> {
            sent++;
            attempt(timer.nowNanos(), "");
            arrive();
        });
    }

    private void attempt(long bornNanos, String tried) {
        String first = draw(tried);
        String second = draw(tried);
        if (first.isEmpty()) {
            errors++;
            return;
        }
        String server = load(second) < load(first) ? second : first;
        if (refuses(server)) {
            timer.after(CONNECT_TIMEOUT, () -> failed(server, bornNanos, tried));
            return;
        }
        busy.merge(server, 1, Integer::sum);
        double factor = server.equals("s00") && !wrongData ? GRAY_FACTOR : 1;
        double service = -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS * factor;
        long begin = Math.max(timer.nowNanos(), freeAtNanos.getOrDefault(server, 0L));
        freeAtNanos.put(server, begin + (long) (service * 1e6 / SLOTS));
        long startedNanos = timer.nowNanos();
        timer.after(Duration.ofNanos(begin - timer.nowNanos() + (long) (service * 1e6)), () -> {
            busy.merge(server, -1, Integer::sum);
            long now = timer.nowNanos();
            health.compute(
                    server,
                    (name, known) -> lies(now)
                            ? known.afterSignal(HealthSignal.SLOW, now)
                            : known.afterResponse(now - startedNanos, median, now));
            latencyMicros.recordValue(Math.min(599_000_000L, (now - bornNanos) / 1_000));
        });
    }

    private void failed(String server, long bornNanos, String tried) {
        health.compute(server, (name, known) -> known.afterSignal(HealthSignal.CONNECT_FAILURE, timer.nowNanos()));
        if (tried.isEmpty()) {
            attempt(bornNanos, server);
        } else {
            errors++;
        }
    }

    private boolean lies(long nowNanos) {
        return wrongData && nowNanos > RUN.toNanos() / 4 && nowNanos < RUN.toNanos() / 2;
    }

    private double load(String server) {
        return busy.getOrDefault(server, 0) / Math.max(0.01, shares.get(server));
    }

    private String draw(String tried) {
        double total = 0;
        for (String name : names) {
            total += name.equals(tried) ? 0 : shares.get(name);
        }
        double point = random.nextDouble() * total;
        for (String name : names) {
            point -= name.equals(tried) ? 0 : shares.get(name);
            if (point < 0) {
                return name;
            }
        }
        return "";
    }

    private boolean refuses(String server) {
        if (wrongData) {
            return false;
        }
        boolean flapDown = timer.nowNanos() / FLAP.toNanos() % 2 == 1;
        return server.equals("s02") || (server.equals("s01") && flapDown);
    }
}
