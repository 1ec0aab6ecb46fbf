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
 * Compares rules for ejecting unhealthy servers from one group, first with one slow, one flapping and one dead server,
 * then with wrong health data.
 *
 * <p>One client sends at 60 % of the capacity of the healthy servers, picks the less busy of two servers drawn by
 * share, and retries a failed connection once on another server. Prints a Markdown table.
 */
public final class HealthExperiment {
    private static final long SEED = 11;
    private static final Duration RUN_LENGTH = Duration.ofMinutes(2);
    private static final double SERVICE_MILLIS = 20;
    private static final double GRAY_FACTOR = 8;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration FLAP_INTERVAL = Duration.ofSeconds(3);
    private static final int SLOTS = 3;

    private final VirtualTimer timer = VirtualTimer.create();
    private final Random random = new Random(SEED);
    private final Map<String, UpstreamHealth> health = new TreeMap<>();
    private final Map<String, Long> freeAtNanos = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
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
                    System.out.println(new HealthExperiment(servers, rule, wrongData).runAndFormatRow());
                }
            }
        }
    }

    private String runAndFormatRow() {
        timer.every(Duration.ofMillis(100), this::updateShares);
        updateShares();
        scheduleArrivals();
        timer.advance(RUN_LENGTH);
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

    private void updateShares() {
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

    private void scheduleArrivals() {
        double perMilli = 0.6 * SLOTS * (names.size() - (wrongData ? 0 : 3)) / SERVICE_MILLIS;
        double waitMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        timer.after(Duration.ofNanos((long) (waitMillis * 1e6)), () -> {
            sent++;
            attempt(timer.nowNanos(), "");
            scheduleArrivals();
        });
    }

    private void attempt(long arrivalNanos, String alreadyTried) {
        String first = drawServer(alreadyTried);
        String second = drawServer(alreadyTried);
        if (first.isEmpty()) {
            errors++;
            return;
        }
        String server = load(second) < load(first) ? second : first;
        if (refusesConnections(server)) {
            timer.after(CONNECT_TIMEOUT, () -> onConnectFailure(server, arrivalNanos, alreadyTried));
            return;
        }
        inFlight.merge(server, 1, Integer::sum);
        double factor = server.equals("s00") && !wrongData ? GRAY_FACTOR : 1;
        double service = -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS * factor;
        long begin = Math.max(timer.nowNanos(), freeAtNanos.getOrDefault(server, 0L));
        freeAtNanos.put(server, begin + (long) (service * 1e6 / SLOTS));
        long startedNanos = timer.nowNanos();
        timer.after(Duration.ofNanos(begin - timer.nowNanos() + (long) (service * 1e6)), () -> {
            inFlight.merge(server, -1, Integer::sum);
            long now = timer.nowNanos();
            health.compute(
                    server,
                    (name, known) -> healthDataWrong(now)
                            ? known.afterSignal(HealthSignal.SLOW, now)
                            : known.afterResponse(now - startedNanos, median, now));
            latencyMicros.recordValue(Math.min(599_000_000L, (now - arrivalNanos) / 1_000));
        });
    }

    private void onConnectFailure(String server, long arrivalNanos, String alreadyTried) {
        health.compute(server, (name, known) -> known.afterSignal(HealthSignal.CONNECT_FAILURE, timer.nowNanos()));
        if (alreadyTried.isEmpty()) {
            attempt(arrivalNanos, server);
        } else {
            errors++;
        }
    }

    private boolean healthDataWrong(long nowNanos) {
        return wrongData && nowNanos > RUN_LENGTH.toNanos() / 4 && nowNanos < RUN_LENGTH.toNanos() / 2;
    }

    private double load(String server) {
        return inFlight.getOrDefault(server, 0) / Math.max(0.01, shares.get(server));
    }

    private String drawServer(String alreadyTried) {
        double total = 0;
        for (String name : names) {
            total += name.equals(alreadyTried) ? 0 : shares.get(name);
        }
        double point = random.nextDouble() * total;
        for (String name : names) {
            point -= name.equals(alreadyTried) ? 0 : shares.get(name);
            if (point < 0) {
                return name;
            }
        }
        return "";
    }

    private boolean refusesConnections(String server) {
        if (wrongData) {
            return false;
        }
        boolean flapDown = timer.nowNanos() / FLAP_INTERVAL.toNanos() % 2 == 1;
        return server.equals("s02") || (server.equals("s01") && flapDown);
    }
}
