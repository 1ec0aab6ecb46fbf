package org.arbutusfield.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Random schedules of faults over several hosts. More schedules: {@code -Darbutusfield.share.seeds=5000}. */
class TeamLimitSearchTest {
    private static final int SEEDS = Integer.getInteger("arbutusfield.share.seeds", 300);
    private static final int FIRST = Integer.getInteger("arbutusfield.share.first", 0);
    private static final Duration RUN = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final ShareTolerance TOLERANCE = new ShareTolerance(Duration.ofSeconds(5), 0.1, 20);
    private static final double ROUNDING = 1e-3;

    /** Guards against any schedule of faults under which the hosts together send more than one bucket would. */
    @Test
    void boundHoldsInEveryWindow() {
        long total = 0;
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            total += Schedule.run(seed, ShareTolerance.NONE).checkExact();
        }
        assertThat(total).as("requests sent in all schedules").isGreaterThan(SEEDS * 20L);
    }

    /** Guards against a new leader that sends more than the tolerance beyond the limit in a window. */
    @Test
    void boundWithToleranceHoldsInEveryWindow() {
        for (int seed = FIRST; seed < FIRST + SEEDS / 2; seed++) {
            Schedule.run(seed, TOLERANCE).checkWindows();
        }
    }

    /** Guards against tokens that accrue where nobody uses them. */
    @ParameterizedTest
    @CsvSource({"5, 10, 121", "20, 40, 121", "100, 200, 121", "50, 50, 20", "10, 10, 8", "400, 400, 30"})
    void nineTenthsAreUsedAtTwiceTheLimit(double rate, double burst, int count) {
        List<String> results = new ArrayList<>();
        boolean enough = used("even", rate, burst, count, step -> -1, results);
        enough &= used("one host", rate, burst, count, step -> count / 2, results);
        enough &= used("moving", rate, burst, count, step -> step * 7 % count, results);
        System.out.println("used at " + rate + "/s and " + burst + ", " + count + " hosts: " + results);
        assertThat(enough).as(results.toString()).isTrue();
    }

    private static boolean used(
            String name, double rate, double burst, int count, IntUnaryOperator host, List<String> results) {
        ShareFleet fleet = new ShareFleet(7, count, new TeamLimit(rate, burst), ShareTolerance.NONE);
        Random random = new Random(3);
        int warmUpSeconds = 15;
        int seconds = 45;
        int before = 0;
        for (int second = 0; second < warmUpSeconds + seconds; second++) {
            before = second == warmUpSeconds ? fleet.sent.size() : before;
            int target = host.applyAsInt(second);
            for (int step = 0; step < 1000 / STEP.toMillis(); step++) {
                for (double due = arrivals(2 * rate, random); due > 0; due--) {
                    fleet.request(target < 0 ? random.nextInt(count) : target);
                }
                fleet.timer.advance(STEP);
            }
        }
        double fraction = (fleet.sent.size() - before) / (rate * seconds);
        results.add(name + " " + Math.round(fraction * 1000) / 1000.0 + " messages/s "
                + fleet.messages / (warmUpSeconds + seconds));
        return fraction >= 0.9;
    }

    private static int arrivals(double perSecond, Random random) {
        double left = Math.exp(-perSecond * STEP.toMillis() / 1000.0);
        int count = -1;
        for (double product = 1; product > left; count++) {
            product *= random.nextDouble();
        }
        return count;
    }

    /** One random schedule. */
    private static final class Schedule {
        private final ShareFleet fleet;
        private final Random random;
        private final long seed;
        private final List<Piece> pieces = new ArrayList<>();

        private Schedule(long seed, ShareTolerance tolerance) {
            this.seed = seed;
            this.random = new Random(seed * 31 + 7);
            int count = 2 + random.nextInt(6);
            this.fleet = new ShareFleet(seed, count, limit(), tolerance);
            fleet.loss = random.nextInt(3) * 0.1;
            fleet.mostDelay = Duration.ofMillis(5 + random.nextInt(90));
            double fraction = random.nextInt(2) * 0.3;
            fleet.hosts.forEach(host -> host.giveBackFraction = fraction);
        }

        private TeamLimit limit() {
            return new TeamLimit(2 + random.nextInt(40), 1 + random.nextInt(60));
        }

        private static Schedule run(long seed, ShareTolerance tolerance) {
            Schedule schedule = new Schedule(seed, tolerance);
            schedule.run();
            return schedule;
        }

        private void run() {
            pieces.add(new Piece(0, fleet.limit));
            boolean changing = false;
            int focus = 0;
            double load = 2;
            for (long step = 0; step < RUN.toMillis() / STEP.toMillis(); step++) {
                if (random.nextInt(100) == 0) {
                    focus = random.nextInt(fleet.hosts.size() + 1) - 1;
                    load = random.nextInt(5);
                }
                if (random.nextInt(150) == 0) {
                    fault();
                }
                if (!changing && random.nextInt(1500) == 0) {
                    changing = true;
                    TeamLimit before = fleet.limit;
                    fleet.changeLimit(limit());
                    pieces.add(new Piece(fleet.timer.nowNanos(), higher(before, fleet.limit)));
                } else if (changing && fleet.settled()) {
                    changing = false;
                    pieces.add(new Piece(fleet.timer.nowNanos(), fleet.limit));
                }
                for (int due = arrivals(load * fleet.limit.ratePerSecond(), random); due > 0; due--) {
                    fleet.request(focus < 0 ? random.nextInt(fleet.hosts.size()) : focus);
                }
                fleet.timer.advance(STEP);
            }
        }

        private static TeamLimit higher(TeamLimit a, TeamLimit b) {
            return new TeamLimit(Math.max(a.ratePerSecond(), b.ratePerSecond()), Math.max(a.burst(), b.burst()));
        }

        private void fault() {
            int index = random.nextInt(fleet.hosts.size());
            ShareFleet.Host host = fleet.hosts.get(index);
            switch (random.nextInt(5)) {
                case 0 -> fleet.changeLeader(index, Duration.ofMillis(random.nextInt(4500)));
                case 1 -> host.pause(Duration.ofMillis(random.nextInt(10_000)));
                case 2 -> host.restart();
                case 3 -> {
                    host.cut = true;
                    fleet.timer.after(Duration.ofMillis(random.nextInt(12_000)), () -> host.cut = false);
                }
                default -> fleet.hosts.get(fleet.leader).pause(Duration.ofMillis(random.nextInt(3000)));
            }
        }

        /** Each piece by itself, and all together with the highest burst. */
        private int checkExact() {
            double mostBurst =
                    pieces.stream().mapToDouble(p -> p.limit().burst()).max().orElseThrow();
            double all = 0;
            double within = 0;
            int piece = 0;
            long last = 0;
            for (long time : fleet.sent) {
                while (piece + 1 < pieces.size() && pieces.get(piece + 1).startNanos() <= time) {
                    long end = pieces.get(piece + 1).startNanos();
                    all = Math.max(0, all - pieces.get(piece).accrued(last, end));
                    last = end;
                    within = 0;
                    piece++;
                }
                Piece current = pieces.get(piece);
                all = Math.max(0, all - current.accrued(last, time)) + 1;
                within = Math.max(0, within - current.accrued(last, time)) + 1;
                last = time;
                assertThat(within)
                        .as("seed %d at %d ms, limit %s", seed, time / 1_000_000, current.limit())
                        .isLessThanOrEqualTo(current.limit().burst() + ROUNDING);
                assertThat(all)
                        .as("seed %d at %d ms", seed, time / 1_000_000)
                        .isLessThanOrEqualTo(mostBurst + ROUNDING);
            }
            return fleet.sent.size();
        }

        private void checkWindows() {
            double rate = pieces.stream()
                    .mapToDouble(p -> p.limit().ratePerSecond())
                    .max()
                    .orElseThrow();
            double burst =
                    pieces.stream().mapToDouble(p -> p.limit().burst()).max().orElseThrow();
            TeamLimit most = new TeamLimit(rate, burst);
            double allowed = rate * TOLERANCE.windowSeconds() + burst + TOLERANCE.requests(most);
            List<Long> sent = fleet.sent;
            int first = 0;
            for (int i = 0; i < sent.size(); i++) {
                while (sent.get(i) - sent.get(first) >= TOLERANCE.window().toNanos()) {
                    first++;
                }
                assertThat((double) (i - first + 1))
                        .as("seed %d at %d ms", seed, sent.get(i) / 1_000_000)
                        .isLessThanOrEqualTo(allowed + ROUNDING);
            }
        }
    }

    /** A time during which some limit is the highest that any host knows. */
    private record Piece(long startNanos, TeamLimit limit) {
        private double accrued(long fromNanos, long toNanos) {
            return (toNanos - fromNanos) * limit.ratePerSecond() / 1e9;
        }
    }
}
