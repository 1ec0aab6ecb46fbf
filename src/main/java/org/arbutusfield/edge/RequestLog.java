package org.arbutusfield.edge;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.LogValue;
import org.arbutusfield.proxy.InterruptedRun;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.RequestObserver;
import org.arbutusfield.proxy.RequestRecord;
import org.arbutusfield.steering.Choice;
import org.arbutusfield.steering.PlacementObserver;
import org.arbutusfield.steering.PlacementRefusal;
import org.arbutusfield.timer.TimerService;

/**
 * Logs one line for each decision about a request, up to a limit of lines per second. Further lines are counted, and
 * the count is logged once per second.
 *
 * <p>Runs on one event loop.
 */
final class RequestLog implements RequestObserver, PlacementObserver {
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);
    private static final int LINES_PER_SECOND = 200;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier routesVersion;
    private int lines;
    private long dropped;

    private RequestLog(LongSupplier routesVersion) {
        this.routesVersion = routesVersion;
    }

    /**
     * Starts a log.
     *
     * @param timer resets the line count each second
     * @param routesVersion supplies the version of the routes in force
     */
    static RequestLog start(TimerService timer, LongSupplier routesVersion) {
        RequestLog log = new RequestLog(routesVersion);
        timer.every(SECOND, log::startSecond);
        return log;
    }

    @Override
    public void finished(RequestRecord request) {
        if (overLineLimit()) {
            return;
        }
        LOG.info(
                "event=request id={} service={} route={} result={} status={} code={} not_run={} retries={} upstream={}"
                        + " total_ms={} wait_ms={} bytes_out={} version={}",
                LogValue.of(request.requestId()),
                request.service(),
                request.requestClass(),
                request.outcome(),
                request.status(),
                request.failure().map(ErrorCode::name).orElse("-"),
                request.notRun(),
                request.retries(),
                request.lastTarget().isEmpty() ? "-" : request.lastTarget(),
                request.totalNanos() / NANOS_PER_MILLI,
                request.waitNanos() / NANOS_PER_MILLI,
                request.bytesOut(),
                routesVersion.getAsLong());
    }

    @Override
    public void refused(String requestId, Failure failure) {
        if (!overLineLimit()) {
            LOG.info(
                    "event=refused id={} code={} subject={} detail={} version={}",
                    LogValue.of(requestId),
                    failure.code(),
                    failure.subject(),
                    failure.detail(),
                    routesVersion.getAsLong());
        }
    }

    @Override
    public void attemptFailed(String requestId, String target, Failure failure, boolean notRun) {
        if (!overLineLimit()) {
            LOG.info(
                    "event=try_failed id={} upstream={} code={} detail={} not_run={}",
                    LogValue.of(requestId),
                    target,
                    failure.code(),
                    failure.detail(),
                    notRun);
        }
    }

    @Override
    public void runInterrupted(InterruptedRun run) {
        if (!overLineLimit()) {
            LOG.info(
                    "event=run_interrupted id={} request={} upstream={} since_sent_ms={} upstream_ended={}",
                    LogValue.of(run.requestId()),
                    String.join(",", run.fingerprints()),
                    run.upstream().name(),
                    run.sinceSent().toMillis(),
                    run.upstreamEnded());
        }
    }

    @Override
    public void placed(PlacementRequest request, Choice choice) {
        if (!overLineLimit()) {
            LOG.info(
                    "event=placed id={} upstream={} reason={} home={} in_flight={} candidates={} shared_rate={} hosts={}"
                            + " version={} revision={}",
                    LogValue.of(request.requestId()),
                    choice.upstream(),
                    choice.reason(),
                    choice.home(),
                    choice.inFlight(),
                    choice.candidates(),
                    choice.sharedRate(),
                    choice.hosts(),
                    routesVersion.getAsLong(),
                    choice.revision());
        }
    }

    @Override
    public void refused(PlacementRequest request, PlacementRefusal refusal) {
        if (!overLineLimit()) {
            LOG.info(
                    "event=load_refused id={} reason={} rank={} upstream={} expected_wait_ms={} expected_work_ms={}"
                            + " remaining_ms={} knowledge_age_ms={} alternatives={} retry_after_ms={} version={}",
                    LogValue.of(request.requestId()),
                    refusal.reason(),
                    refusal.rank(),
                    refusal.upstream(),
                    refusal.expectedWait().toMillis(),
                    refusal.expectedWork().toMillis(),
                    refusal.remaining().toMillis(),
                    refusal.knowledgeAge().toMillis(),
                    refusal.alternatives(),
                    refusal.retryAfter().toMillis(),
                    routesVersion.getAsLong());
        }
    }

    private boolean overLineLimit() {
        lines++;
        if (lines > LINES_PER_SECOND) {
            dropped++;
        }
        return lines > LINES_PER_SECOND;
    }

    private void startSecond() {
        if (dropped > 0) {
            LOG.warn("event=log_lines_dropped count={} limit_per_second={}", dropped, LINES_PER_SECOND);
        }
        dropped = 0;
        lines = 0;
    }
}
