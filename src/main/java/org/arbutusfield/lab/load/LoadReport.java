package org.arbutusfield.lab.load;

import org.HdrHistogram.Histogram;

/**
 * What came of a load run. Every request is counted once.
 *
 * @param whole answered whole, each answer checked against its own request
 * @param refused refused with the statement that it was not run
 * @param unknown ended with a typed answer that says its outcome is unknown
 * @param cutShort connection closed or silent after the request was sent, without a typed answer
 * @param wrong answered with another request's answer or a short one
 * @param unreachable no entry host took it
 * @param latency microseconds of requests answered whole
 */
public record LoadReport(
        long whole, long refused, long unknown, long cutShort, long wrong, long unreachable, Histogram latency) {

    /** All requests. */
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
