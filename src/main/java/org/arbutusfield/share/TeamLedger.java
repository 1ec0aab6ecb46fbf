package org.arbutusfield.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the leader has lent of one team's limit.
 *
 * <p><b>Problem.</b> All hosts together may send {@code rate * t + burst} requests in any time {@code t}. The lender
 * doesn't see when its answers are applied, and its predecessor has lent shares that it doesn't know.
 *
 * <p><b>Idea.</b> Shares and the lender's reserve are token buckets. As long as their bursts add up to at most the
 * burst and their rates to at most the rate, with each token in one place, all together send no more than one bucket
 * would. What the lender counts for a host is at least what the host can hold. A report says exactly what it holds.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>For each host the higher one of the share that it has reported and that in the answer is counted, until the
 *       next report, or {@code LENT_NANOS} after the last. Tokens sent count as burst until the next report of the
 *       host, or {@code TOKEN_LENT_NANOS}.
 *   <li>Counted rates add up to at most the budget's, and counted bursts, tokens and reserve to at most the budget's,
 *       as long as the limit has not been lowered. After that nothing is granted until they do again.
 *   <li>For {@code LENT_NANOS} from the start of the term, unless the whole fleet has restarted, the budget is what
 *       hosts have claimed in this term: each claim was part of what the predecessor had lent when its term ended.
 *       After that, all it lent has ended.
 *   <li>Reports of an earlier incarnation, or not newer than the last, change nothing.
 * </ul>
 *
 * <p><b>Example.</b> Of 10/s and 20, host a holds 6/s and 4.6. Its demand falls to 2/s: the answer is 2.5/s and 2.5,
 * and 6/s stays counted until a reports 2.5/s, with the tokens that no longer fit, which the reserve receives.
 *
 * <p>Not thread-safe.
 */
final class TeamLedger {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING = 1e-6;
    /** The shares are divided anew at most this often. */
    private static final long DIVISION_NANOS = Duration.ofMillis(100).toNanos();
    /** A host that has not reported for this long, three regular reports, has no demand. */
    private static final long DEMAND_NANOS = Duration.ofMillis(1500).toNanos();
    /** Time from asking for a token to its use and the next report; what the reserve sends in it occupies burst. */
    private static final double TOKEN_SECONDS = 0.25;

    /** A share isn't lowered if the new rate is above this part of the present one. */
    private static final double KEPT = 0.75;

    private static final Duration MIN_RETRY = Duration.ofMillis(100);

    private final ShareTolerance tolerance;
    private final Map<String, Lent> hosts = new HashMap<>();
    private final Deque<SentTokens> sent = new ArrayDeque<>();
    private TeamLimit limit;
    /** Monotonic time from which no share of a predecessor is in use, except for those that are counted. */
    private long takenOverNanos;

    private double claimedRate;
    private double claimedBurst;
    private double countedRate;
    private double countedBurst;
    private int sentTokens;
    private double reserve;
    private double extra;
    private long updatedNanos;
    private long dividedNanos;
    private Allocation allocation;

    private TeamLedger(TeamLimit limit, ShareTolerance tolerance, long startNanos, long takenOverNanos, long nowNanos) {
        this.limit = limit;
        this.tolerance = tolerance;
        this.takenOverNanos = takenOverNanos;
        // Nothing has been lent in this term yet, so the reserve has accrued since a predecessor's shares have ended.
        this.updatedNanos = takingOver(nowNanos) ? startNanos : takenOverNanos;
        this.dividedNanos = nowNanos - DIVISION_NANOS;
        this.allocation = Allocation.of(limit.ratePerSecond(), new double[0]);
    }

    /**
     * Creates the ledger of a team of whose limit nothing has been lent in this term.
     *
     * @param limit limit of the team
     * @param tolerance what may be sent beyond the limit after the start
     * @param startNanos monotonic time of the start of the term
     * @param nowNanos current monotonic time
     */
    static TeamLedger create(TeamLimit limit, ShareTolerance tolerance, long startNanos, long nowNanos) {
        return create(limit, tolerance, startNanos, startNanos + ShareTimes.LENT_NANOS, nowNanos);
    }

    /** As the other method, with the monotonic time from which no uncounted share of a predecessor is in use. */
    static TeamLedger create(
            TeamLimit limit, ShareTolerance tolerance, long startNanos, long takenOverNanos, long nowNanos) {
        return new TeamLedger(limit, tolerance, startNanos, takenOverNanos, nowNanos);
    }

    /** Lends the whole limit from now on, because all shares of a predecessor that are in use are counted. */
    void takenOver(long nowNanos) {
        advance(nowNanos);
        takenOverNanos = Math.min(takenOverNanos, nowNanos);
    }

    /** Changes the limit. */
    void limit(TeamLimit next, long nowNanos) {
        if (next.equals(limit)) {
            return;
        }
        advance(nowNanos);
        claimedRate *= Math.min(1, next.ratePerSecond() / limit.ratePerSecond());
        claimedBurst *= limit.burst() > next.burst() ? next.burst() / limit.burst() : 1;
        limit = next;
        clampReserve();
    }

    /**
     * Answers a report.
     *
     * @param host name of the host
     * @param incarnation incarnation of its process
     * @param raises false if the host knows an older configuration; then nothing is raised
     * @param ofThisTerm true if the host has had an answer of this term before it sent the report
     * @param report the report
     * @param nowNanos current monotonic time
     * @return empty if the report is older than another one, or may not be relied on for a claim
     */
    Optional<TeamGrant> answer(
            String host, long incarnation, boolean raises, boolean ofThisTerm, TeamReport report, long nowNanos) {
        advance(nowNanos);
        if (!report.valid() || (takingOver(nowNanos) && !ofThisTerm)) {
            return Optional.empty();
        }
        Lent lent = hosts.get(host);
        if (lent != null && !lent.precedes(incarnation, report.number())) {
            return Optional.empty();
        }
        lent = lent != null && lent.incarnation == incarnation ? lent : begin(host, incarnation, report, nowNanos);
        confirm(lent, report);
        lent.number = report.number();
        lent.demand = report.demandPerSecond();
        lent.reportedNanos = nowNanos;
        lent.untilNanos = nowNanos + ShareTimes.LENT_NANOS;
        divideIfDue(nowNanos);
        return Optional.of(grant(lent, report, raises, nowNanos));
    }

    /** Returns true if the ledger holds nothing that a new one would not. */
    boolean unused(long nowNanos) {
        advance(nowNanos);
        divideIfDue(nowNanos);
        return hosts.isEmpty() && !takingOver(nowNanos) && reserve >= limit.burst() - ROUNDING;
    }

    /** Returns true while shares that a predecessor lent may be in use. */
    boolean takingOver(long nowNanos) {
        return nowNanos - takenOverNanos < 0;
    }

    /** Rate that is counted as lent, in requests per second. */
    double countedRate() {
        return countedRate;
    }

    /** Burst that is counted as lent, with tokens sent. */
    double countedBurst() {
        return countedBurst + sentTokens;
    }

    /** Tokens that the lender holds. */
    double reserve() {
        return reserve;
    }

    /** Hosts that have reported lately. */
    int hosts() {
        return hosts.size();
    }

    /** Limit of the team. */
    TeamLimit limit() {
        return limit;
    }

    /** Starts to count for a process. What another process of the same host held has ended with that. */
    private Lent begin(String host, long incarnation, TeamReport report, long nowNanos) {
        Lent before = hosts.remove(host);
        if (before != null) {
            forget(before);
        }
        Lent lent = new Lent(incarnation);
        hosts.put(host, lent);
        if (takingOver(nowNanos) && report.remainingMillis() > 0 && before == null) {
            claim(lent, report);
        }
        return lent;
    }

    private void claim(Lent lent, TeamReport report) {
        TeamLimit basis = report.limit();
        double rate = report.rate() * limit.rateFactor(basis);
        double burst = report.burst() * limit.burstFactor(basis);
        claimedRate += rate;
        claimedBurst += burst;
        count(lent, report.rate(), report.burst());
    }

    /** Lowers what is counted to what the host says that it holds. */
    private void confirm(Lent lent, TeamReport report) {
        boolean known = lent.rate > 0 || lent.burst > 0 || lent.tokens > 0;
        sentTokens -= lent.tokens;
        lent.tokens = 0;
        count(lent, Math.min(lent.rate, report.rate()), Math.min(lent.burst, report.burst()));
        reserve += known ? report.returned() : 0;
        clampReserve();
    }

    private TeamGrant grant(Lent lent, TeamReport report, boolean raises, long nowNanos) {
        double rate = allocation.rate(lent.demand);
        double free = Math.max(0, budgetRate(nowNanos) - (countedRate - lent.rate));
        // The difference would be unused until the host confirms it.
        rate = rate < lent.rate && rate > KEPT * lent.rate ? lent.rate : rate;
        rate = Math.min(rate, raises ? free : Math.min(free, report.rate()));
        double burst = Math.min(ShareSizes.burst(rate), freeBurst(lent, rate, nowNanos));
        burst = raises ? burst : Math.min(burst, report.burst());
        rate = Math.min(rate, ShareSizes.maxRate(burst));
        if (rate < allocation.minRate()) {
            rate = 0;
            burst = 0;
        }
        double filled = raise(lent, rate, burst);
        int tokens = raises ? send(lent, report.wanted(), nowNanos) : 0;
        return new TeamGrant(report.team(), report.number(), rate, burst, filled, tokens, retryAfter(rate), limit);
    }

    /** Counts a share, and returns the tokens that move with the burst because the reserve can't hold them any more. */
    private double raise(Lent lent, double rate, double burst) {
        double raised = Math.max(0, burst - lent.burst);
        double before = reserve;
        count(lent, Math.max(lent.rate, rate), Math.max(lent.burst, burst));
        clampReserve();
        return Math.min(raised, before - reserve);
    }

    /** Returns the burst that a share may have, so that enough is left for the tokens that the reserve sends. */
    private double freeBurst(Lent lent, double rate, long nowNanos) {
        double reserveRate = Math.max(0, budgetRate(nowNanos) - (countedRate - lent.rate) - rate);
        double left = budgetBurst(nowNanos) - (countedBurst - lent.burst);
        double kept = takingOver(nowNanos) ? sentTokens : Math.max(sentTokens, 1 + TOKEN_SECONDS * reserveRate);
        return left - kept;
    }

    private int send(Lent lent, int wanted, long nowNanos) {
        int tokens = (int) Math.min(wanted, Math.floor(reserve + ROUNDING));
        if (tokens > 0) {
            reserve = Math.max(0, reserve - tokens);
            sentTokens += tokens;
            lent.tokens = tokens;
            sent.add(new SentTokens(lent, lent.number, nowNanos + ShareTimes.TOKEN_LENT_NANOS));
        }
        int beyond = (int) Math.min(wanted - tokens, Math.floor(extra + ROUNDING));
        extra -= beyond;
        return tokens + beyond;
    }

    /** Returns the time until a host may get another token, if all that have reported ask for one. */
    private Duration retryAfter(double rate) {
        double fair = limit.ratePerSecond() / Math.max(1, hosts.size());
        double own = Math.max(rate, Math.max(fair, limit.ratePerSecond() - countedRate));
        Duration wait = Duration.ofNanos((long) (Math.max(0, 1 - reserve) * NANOS_PER_SECOND / own));
        return wait.compareTo(MIN_RETRY) < 0 ? MIN_RETRY : wait;
    }

    private double budgetRate(long nowNanos) {
        return takingOver(nowNanos) ? Math.min(limit.ratePerSecond(), claimedRate) : limit.ratePerSecond();
    }

    private double budgetBurst(long nowNanos) {
        return takingOver(nowNanos) ? Math.min(limit.burst(), claimedBurst) : limit.burst();
    }

    private void count(Lent lent, double rate, double burst) {
        countedRate += rate - lent.rate;
        countedBurst += burst - lent.burst;
        lent.rate = rate;
        lent.burst = burst;
    }

    private void forget(Lent lent) {
        count(lent, 0, 0);
        sentTokens -= lent.tokens;
        lent.tokens = 0;
    }

    private void divideIfDue(long nowNanos) {
        if (nowNanos - dividedNanos < DIVISION_NANOS) {
            return;
        }
        dividedNanos = nowNanos;
        hosts.values().removeIf(lent -> {
            boolean ended = lent.untilNanos - nowNanos <= 0;
            if (ended) {
                forget(lent);
            }
            return ended;
        });
        // Sums of differences drift by rounding.
        countedRate = hosts.values().stream().mapToDouble(lent -> lent.rate).sum();
        countedBurst = hosts.values().stream().mapToDouble(lent -> lent.burst).sum();
        double[] demands = hosts.values().stream()
                .filter(lent -> nowNanos - lent.reportedNanos < DEMAND_NANOS)
                .mapToDouble(lent -> lent.demand)
                .toArray();
        allocation = Allocation.of(budgetRate(nowNanos), demands);
    }

    private void advance(long nowNanos) {
        while (!sent.isEmpty() && sent.peek().endNanos() - nowNanos <= 0) {
            SentTokens ended = sent.remove();
            accrue(ended.endNanos());
            if (ended.lent().number == ended.number()) {
                sentTokens -= ended.lent().tokens;
                ended.lent().tokens = 0;
            }
        }
        if (takenOverNanos - nowNanos < 0) {
            accrue(takenOverNanos);
        }
        accrue(nowNanos);
    }

    private void accrue(long toNanos) {
        if (toNanos - updatedNanos <= 0) {
            return;
        }
        double seconds = (toNanos - updatedNanos) / NANOS_PER_SECOND;
        reserve += Math.max(0, budgetRate(updatedNanos) - countedRate) * seconds;
        accrueExtra(seconds, toNanos);
        updatedNanos = toNanos;
        clampReserve();
    }

    /**
     * Half of the tolerance accrues in a window and half may be left from before, so that no window has more than the
     * tolerance.
     */
    private void accrueExtra(double seconds, long nowNanos) {
        double half = tolerance.requests(limit) / 2;
        extra = takingOver(nowNanos) ? Math.min(half, extra + half * seconds / tolerance.windowSeconds()) : 0;
    }

    private void clampReserve() {
        reserve = Math.max(0, Math.min(reserve, budgetBurst(updatedNanos) - countedBurst - sentTokens));
    }

    /** What is counted for one process of a host. */
    private static final class Lent {
        private final long incarnation;
        private long number;
        private double rate;
        private double burst;
        private int tokens;
        private double demand;
        private long reportedNanos;
        private long untilNanos;

        private Lent(long incarnation) {
            this.incarnation = incarnation;
        }

        private boolean precedes(long otherIncarnation, long otherNumber) {
            return otherIncarnation > incarnation || (otherIncarnation == incarnation && otherNumber > number);
        }
    }

    /** Tokens sent with the answer to a report, and when they have ended at the host. */
    private record SentTokens(Lent lent, long number, long endNanos) {}
}
