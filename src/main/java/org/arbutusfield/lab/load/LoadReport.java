package org.arbutusfield.lab.load;

import org.HdrHistogram.Histogram;

/**
 * The outcomes of a load run. Every request is counted once.
 *
 * @param whole number of requests with a complete response that belongs to the request
 * @param refused number of responses that say that the request was not run
 * @param unknown number of typed error responses that say that the outcome is unknown
 * @param cutShort number of requests whose connection closed or fell silent after they were sent, without a typed
 *     response
 * @param wrong number of responses that belong to another request or are too short
 * @param unreachable number of requests that no host accepted
 * @param latency latency in microseconds of the responses with status 200
 */
public record LoadReport(
        long whole, long refused, long unknown, long cutShort, long wrong, long unreachable, Histogram latency) {

    /** Returns the number of all requests. */
    public long total() {
        return whole + refused + unknown + cutShort + wrong + unreachable;
    }

    @Override
    public String toString() {
        return String.format(
                "requests=%d whole=%d refused_not_run=%d unknown=%d cut_short=%d wrong=%d unreachable=%d"
                        + " p50_ms=%.1f p99_ms=%.1f",
                total(),
                whole,
                refused,
                unknown,
                cutShort,
                wrong,
                unreachable,
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3);
    }
}
