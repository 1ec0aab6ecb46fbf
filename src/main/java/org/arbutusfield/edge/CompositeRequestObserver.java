package org.arbutusfield.edge;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.InterruptedRun;
import org.arbutusfield.proxy.RequestObserver;
import org.arbutusfield.proxy.RequestRecord;

/**
 * Forwards the events of requests to the log and the metrics, and signs of restarts to the host.
 *
 * @param log gets every event
 * @param meter gets the record of each finished request
 * @param restartSign receives the address of an upstream that may have restarted
 */
record CompositeRequestObserver(RequestLog log, RequestObserver meter, Consumer<InetSocketAddress> restartSign)
        implements RequestObserver {
    @Override
    public void finished(RequestRecord request) {
        log.finished(request);
        meter.finished(request);
    }

    @Override
    public void refused(String requestId, Failure failure) {
        log.refused(requestId, failure);
    }

    @Override
    public void attemptFailed(String requestId, String target, Failure failure, boolean notRun) {
        log.attemptFailed(requestId, target, failure, notRun);
    }

    @Override
    public void runInterrupted(InterruptedRun run) {
        log.runInterrupted(run);
    }

    @Override
    public void upstreamMayHaveRestarted(InetSocketAddress upstream) {
        restartSign.accept(upstream);
    }
}
