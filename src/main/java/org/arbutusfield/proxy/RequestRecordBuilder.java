package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.error.ErrorCode;

/** Collects the data of one request for its {@link RequestRecord}. Confined to the request's event loop. */
final class RequestRecordBuilder {
    private final RequestHead head;
    private final long startNanos;
    private int status;
    private String lastTarget = "";
    private long waitStart;
    private long waitNanos;

    private RequestRecordBuilder(RequestHead head, long startNanos) {
        this.head = head;
        this.startNanos = startNanos;
    }

    static RequestRecordBuilder of(RequestHead head, long startNanos) {
        return new RequestRecordBuilder(head, startNanos);
    }

    void waitStarted() {
        waitStart = System.nanoTime();
    }

    void waitEnded() {
        waitNanos += System.nanoTime() - waitStart;
    }

    void attemptStarted(String target) {
        lastTarget = target;
    }

    void responseStarted(int httpStatus) {
        status = httpStatus;
    }

    void failureReported(ErrorCode code) {
        status = code.httpStatus();
    }

    RequestRecord record(
            RequestRecord.Result result,
            Optional<ErrorCode> failure,
            boolean notRun,
            int retries,
            long bytesIn,
            long bytesOut) {
        return new RequestRecord(
                head.requestId(),
                head.service().name(),
                head.requestClass().name(),
                result,
                status,
                failure,
                notRun,
                retries,
                lastTarget,
                System.nanoTime() - startNanos,
                waitNanos,
                bytesIn,
                bytesOut);
    }
}
