package org.arbutusfield.proxy;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;

/**
 * The attempts made for one request, and whether another may follow. Confined to the request's event loop.
 *
 * <p>An attempt whose outcome is unknown counts as a run, and the route limits the number of runs. An attempt that
 * certainly did not run counts only against the host's limit on attempts.
 */
final class AttemptHistory {
    /** A request that has lost as many upstreams may be the cause. */
    private static final int MAX_LOST_RUNS = 2;

    private static final Set<ErrorCode> WITHOUT_ARRIVAL = EnumSet.of(
            ErrorCode.UPSTREAM_CONNECT,
            ErrorCode.PERMIT_EXPIRED,
            ErrorCode.HOST_CUT_OFF,
            ErrorCode.HOST_BUSY,
            ErrorCode.HOST_LEAVING);

    private final RequestHead head;
    private final int maxAttempts;
    private final RetryLimiter retryLimiter;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int runs;
    private int lostRuns;
    private boolean newConnectionOnly;
    private Optional<Failure> lastFailure = Optional.empty();

    private AttemptHistory(RequestHead head, int maxAttempts, RetryLimiter retryLimiter) {
        this.head = head;
        this.maxAttempts = maxAttempts;
        this.retryLimiter = retryLimiter;
    }

    /** Creates a history without attempts. */
    static AttemptHistory of(RequestHead head, ProxyContext context) {
        return new AttemptHistory(
                head, context.limits().attempts(), context.components().retryLimiter());
    }

    /** Records the start of an attempt. */
    void attemptStarted() {
        attempts++;
    }

    /** Records that an attempt ended without a response to relay. */
    void attemptFailed(Attempt attempt, Failure failure, boolean notRun) {
        runs += notRun ? 0 : 1;
        lostRuns += failure.code() == ErrorCode.UPSTREAM_LOST ? 1 : 0;
        lastFailure = Optional.of(failure);
        boolean statedByTarget = notRun && attempt.sent();
        boolean connectionAtFault = attempt.onReusedConnection() && !statedByTarget;
        newConnectionOnly |= connectionAtFault;
        if (!connectionAtFault) {
            tried.add(attempt.target().name());
        }
    }

    /** Records that the response of the target broke off. */
    void responseBrokeOff(String target) {
        tried.add(target);
        newConnectionOnly = true;
    }

    /** Requires a new connection for later attempts, because the one in use became unresponsive. */
    void requireNewConnection() {
        newConnectionOnly = true;
    }

    /** Records that the request may have run although no attempt was reported as failed. */
    void addPossibleRun() {
        runs++;
    }

    /** Acquires the right to retry the whole request; returns false if it must not be retried. */
    boolean acquireRetry(boolean notRun, RequestBody body) {
        return runs < maxRuns()
                && lostRuns < MAX_LOST_RUNS
                && mayRetry(notRun, body)
                && (!mayHaveReachedUpstream() || retryLimiter.tryAcquire(head.service()));
    }

    /**
     * Acquires the right to retry the whole request in place of the current attempt, which was sent and will count as a
     * lost run; returns false if it must not be retried.
     */
    boolean acquireRetryInPlaceOfAttempt(RequestBody body) {
        return runs + 1 < maxRuns()
                && lostRuns + 1 < MAX_LOST_RUNS
                && mayRetry(false, body)
                && retryLimiter.tryAcquire(head.service());
    }

    private boolean mayRetry(boolean notRun, RequestBody body) {
        return attempts < maxAttempts && (notRun || head.requestClass().repeatable()) && body.replayable();
    }

    /** False if the last attempt certainly brought no request to an upstream, so that another adds none either. */
    private boolean mayHaveReachedUpstream() {
        return lastFailure
                .map(failure -> !WITHOUT_ARRIVAL.contains(failure.code()))
                .orElse(true);
    }

    /** Acquires the right to request the rest of a response; returns false if no attempt or retry is left. */
    boolean acquireResumption() {
        return attempts < maxAttempts && retryLimiter.tryAcquire(head.service());
    }

    /**
     * The failure to report to the caller. It never states that the request was not run if it may have run. A failure
     * with status 503 always says when to retry.
     */
    Failure failureForCaller(Failure failure) {
        if (mayHaveRun() && failure.notRun()) {
            return Failure.of(
                    ErrorCode.UPSTREAM_LOST, failure.subject(), failure.code().name());
        }
        return RetryAfter.withDefault(failure);
    }

    /** True if the outcome of an attempt is unknown. */
    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Names of the targets at which an attempt failed. */
    Set<String> tried() {
        return tried;
    }

    /** True if later attempts must not reuse a connection. */
    boolean newConnectionOnly() {
        return newConnectionOnly;
    }

    /** Failure of the last failed attempt, if there is one. */
    Optional<Failure> lastFailure() {
        return lastFailure;
    }

    /** Attempts after the first. */
    int retries() {
        return Math.max(0, attempts - 1);
    }

    private int maxRuns() {
        return head.route().map(Route::attempts).orElse(maxAttempts);
    }
}
