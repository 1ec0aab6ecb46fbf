package org.arbutusfield.share;

import java.time.Duration;

/**
 * What this host may send for one team.
 *
 * <p><b>Problem.</b> The host must not ask another one before each request, and the sum over all hosts must stay within
 * the limit while messages are lost or late, hosts are paused, and the limit changes.
 *
 * <p><b>Idea.</b> The host holds a share, which is a token bucket with an end. The lender may also send tokens for
 * requests that wait; they raise the bucket's level and capacity for a short time.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>A share ends {@code VALIDITY}, and tokens end {@code TOKEN_VALIDITY}, after the host <em>asked</em> for them by
 *       its own clock, however late the answer arrives or is read.
 *   <li>At most one report is unanswered. The answer to any other report, or one that arrives after
 *       {@code ANSWER_LIMIT}, is ignored. So a report states exactly what the host holds.
 *   <li>The level never exceeds the burst and the tokens sent. A new share adds only tokens that the lender has taken
 *       from its reserve.
 *   <li>A lower limit scales the share at once, and a later higher one does not scale it back.
 *   <li>Tokens leave with one report, and are not sent again if it is lost. A use is given back at most once, and only
 *       if the bucket had room for it all the time since.
 * </ul>
 *
 * <p><b>Example.</b> With a limit of 10/s and 20, the first request waits: the report says that one token is wanted.
 * The answer has one token and a share of 3/s and 2.8. Requests from then on take tokens of that share.
 *
 * <p>Not thread-safe.
 */
final class HostAllowance {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Sums of many small parts miss a whole token by less than this. */
    private static final double ROUNDING = 1e-6;
    /** A share is idle after this many requests that its rate allows, within the limits below. */
    private static final double IDLE_REQUESTS = 3;

    private static final long MIN_IDLE_NANOS = Duration.ofMillis(150).toNanos();
    private static final long MAX_IDLE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long NONE = -1;

    private final String team;
    private final DemandMeter demand = new DemandMeter();
    private final RecentRoom room = new RecentRoom();
    private TeamLimit limit;
    private long version;
    /** Limit under which the share was granted. */
    private TeamLimit granted;

    private double rate;
    private double burst;
    private long shareEndNanos;
    private double tokens;
    private long tokensEndNanos;
    private double level;
    private long updatedNanos;
    private double toReturn;
    /** The lender counts a larger share than this host holds. */
    private boolean unconfirmed;

    private long arrivedNanos;
    private long unanswered = NONE;
    private long askedNanos;

    private HostAllowance(String team, long version, TeamLimit limit, long nowNanos) {
        this.team = team;
        this.version = version;
        this.limit = limit;
        this.granted = limit;
        this.shareEndNanos = nowNanos;
        this.tokensEndNanos = nowNanos;
        this.updatedNanos = nowNanos;
        this.arrivedNanos = nowNanos;
    }

    /** Creates the allowance of a host that holds nothing. */
    static HostAllowance create(String team, long version, TeamLimit limit, long nowNanos) {
        return new HostAllowance(team, version, limit, nowNanos);
    }

    /** Counts a request for which callers ask, whether it may be sent or not. */
    void arrived(long nowNanos) {
        demand.count(nowNanos);
        arrivedNanos = nowNanos;
    }

    /** Takes a token for a request; returns false if there is none. */
    boolean tryTake(long nowNanos) {
        advance(nowNanos);
        if (level < 1 - ROUNDING) {
            return false;
        }
        level = Math.max(0, level - 1);
        room.taken(burst + tokens - level, nowNanos);
        return true;
    }

    /** Takes back a token that was taken at a time and not used; drops it if the bucket could not have held it. */
    void giveBack(long takenNanos, long nowNanos) {
        advance(nowNanos);
        if (room.tryReserve(takenNanos)) {
            level++;
        }
    }

    /** Takes a newer configuration into account: a lower limit scales the share down. */
    void limitChanged(long newVersion, TeamLimit next, long nowNanos) {
        if (newVersion <= version) {
            return;
        }
        advance(nowNanos);
        version = newVersion;
        limit = next;
        resize(rate * limit.rateFactor(granted), burst * limit.burstFactor(granted), nowNanos);
        granted = next;
        toReturn = 0;
    }

    /**
     * Creates a report. From now on the answer to an earlier one is ignored. An idle share is lowered first.
     *
     * @param number number of the report, higher than that of any other
     * @param wanted requests that wait for a token
     * @param nowNanos current monotonic time
     */
    TeamReport report(long number, int wanted, long nowNanos) {
        advance(nowNanos);
        endTokens(nowNanos);
        if (idle(nowNanos)) {
            demand.reset(nowNanos);
            double kept = Math.min(rate, ShareSizes.IDLE_RATE);
            lower(kept, Math.min(burst, ShareSizes.burst(kept)), nowNanos);
            returnAllButOne(nowNanos);
        }
        unconfirmed = false;
        double returned = toReturn;
        toReturn = 0;
        unanswered = number;
        askedNanos = nowNanos;
        return new TeamReport(
                team,
                number,
                demand.perSecond(nowNanos),
                rate,
                burst,
                (int) (Math.max(0, shareEndNanos - nowNanos) / NANOS_PER_MILLI),
                wanted,
                returned,
                granted);
    }

    /**
     * Applies an answer; returns false if it is ignored.
     *
     * @param lenderVersion version of the configuration that the lender knew
     * @param grant the answer
     * @param nowNanos current monotonic time
     */
    boolean answered(long lenderVersion, TeamGrant grant, long nowNanos) {
        advance(nowNanos);
        if (grant.number() != unanswered || !grant.valid()) {
            return false;
        }
        unanswered = NONE;
        if (nowNanos - askedNanos > ShareTimes.ANSWER_LIMIT.toNanos()) {
            return false;
        }
        boolean older = lenderVersion < version;
        double newRate = older ? Math.min(rate, grant.rate() * limit.rateFactor(grant.limit())) : grant.rate();
        double newBurst = older ? Math.min(burst, grant.burst() * limit.burstFactor(grant.limit())) : grant.burst();
        unconfirmed = newRate < rate || newBurst < burst;
        lower(Math.min(rate, newRate), Math.min(burst, newBurst), nowNanos);
        resize(newRate, newBurst, nowNanos);
        granted = older ? limit : grant.limit();
        shareEndNanos = askedNanos + ShareTimes.VALIDITY.toNanos();
        if (!older) {
            level = Math.min(burst, level + grant.filled());
            receive(grant.tokens(), nowNanos);
        }
        return true;
    }

    /** Notes that a report will not be answered. */
    void notAnswered(long number) {
        unanswered = number == unanswered ? NONE : unanswered;
    }

    /** Returns true while the answer to a report is awaited. */
    boolean awaitsAnswer() {
        return unanswered != NONE;
    }

    /** Returns true if the host holds a share. */
    boolean holdsShare(long nowNanos) {
        advance(nowNanos);
        return rate > 0;
    }

    /** Returns true if the lender should soon learn that this host holds less, or needs less, than it knows. */
    boolean returnsSoon(long nowNanos) {
        advance(nowNanos);
        return toReturn > 0 || unconfirmed || (rate > ShareSizes.IDLE_RATE && idle(nowNanos));
    }

    /** Rate of the share, in requests per second. */
    double rate() {
        return rate;
    }

    /** Burst of the share. */
    double burst() {
        return burst;
    }

    /** Time until the share ends. */
    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(0, shareEndNanos - nowNanos));
    }

    /** Time until the share has another token, or ends. Meaningful only while there is a share. */
    Duration untilNextToken(long nowNanos) {
        advance(nowNanos);
        long wait = (long) Math.ceil(Math.max(0, 1 - level) * NANOS_PER_SECOND / Math.max(rate, ShareSizes.MIN_RATE));
        return Duration.ofNanos(wait);
    }

    /** Time of the last request. */
    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Time of the last report. */
    long askedNanos() {
        return askedNanos;
    }

    /** Limit that this host knows. */
    TeamLimit limit() {
        return limit;
    }

    private boolean idle(long nowNanos) {
        if (rate <= 0 || level < burst / 2) {
            return false;
        }
        long limitNanos = (long) (IDLE_REQUESTS / rate * NANOS_PER_SECOND);
        return nowNanos - arrivedNanos > Math.max(MIN_IDLE_NANOS, Math.min(MAX_IDLE_NANOS, limitNanos));
    }

    private void receive(int sent, long nowNanos) {
        long end = askedNanos + ShareTimes.TOKEN_VALIDITY.toNanos();
        if (sent == 0 || end - nowNanos <= 0) {
            return;
        }
        tokens = sent;
        tokensEndNanos = end;
        level += sent;
        observe(nowNanos);
    }

    /** Lowers the share, and keeps the tokens that no longer fit for the next report. */
    private void lower(double newRate, double newBurst, long nowNanos) {
        toReturn += Math.max(0, level - newBurst - tokens);
        resize(newRate, newBurst, nowNanos);
    }

    private void resize(double newRate, double newBurst, long nowNanos) {
        rate = newRate;
        burst = newBurst;
        level = Math.min(level, burst + tokens);
        observe(nowNanos);
    }

    /** An idle share keeps a token for the next request; what accrues beyond it would be lost at the burst. */
    private void returnAllButOne(long nowNanos) {
        toReturn += Math.max(0, level - 1);
        level = Math.min(level, 1);
        observe(nowNanos);
    }

    /** Ends the tokens that were sent; the lender counts them as ended when it gets the next report. */
    private void endTokens(long nowNanos) {
        toReturn += Math.max(0, Math.min(tokens, level - burst));
        tokens = 0;
        resize(rate, burst, nowNanos);
    }

    private void advance(long nowNanos) {
        if (shareEndNanos - tokensEndNanos < 0) {
            endShareIfDue(nowNanos);
            endTokensIfDue(nowNanos);
        } else {
            endTokensIfDue(nowNanos);
            endShareIfDue(nowNanos);
        }
        accrue(nowNanos);
    }

    private void endShareIfDue(long nowNanos) {
        if ((rate > 0 || burst > 0 || toReturn > 0) && shareEndNanos - nowNanos <= 0) {
            accrue(shareEndNanos);
            toReturn = 0;
            resize(0, 0, shareEndNanos);
        }
    }

    private void endTokensIfDue(long nowNanos) {
        if (tokens > 0 && tokensEndNanos - nowNanos <= 0) {
            accrue(tokensEndNanos);
            tokens = 0;
            resize(rate, burst, tokensEndNanos);
        }
    }

    private void accrue(long toNanos) {
        if (toNanos - updatedNanos <= 0) {
            return;
        }
        level = Math.min(burst + tokens, level + (toNanos - updatedNanos) * rate / NANOS_PER_SECOND);
        updatedNanos = toNanos;
        observe(toNanos);
    }

    private void observe(long nowNanos) {
        room.observe(burst + tokens - level, nowNanos);
    }
}
