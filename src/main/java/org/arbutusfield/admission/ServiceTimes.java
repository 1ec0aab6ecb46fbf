package org.arbutusfield.admission;

import java.util.HashMap;
import java.util.Map;

/** Mean and mean deviation of service times by request class, as exponentially weighted moving averages. */
final class ServiceTimes {
    private static final double SMOOTHING_FACTOR = 1.0 / 64;
    private static final int UPPER_BOUND_DEVIATIONS = 4;

    private final Map<String, Average> byClass = new HashMap<>();
    private final Average overall = new Average();

    private ServiceTimes() {}

    static ServiceTimes create() {
        return new ServiceTimes();
    }

    void recordCompleted(String requestClass, long nanos) {
        overall.add(nanos);
        byClass.computeIfAbsent(requestClass, name -> new Average()).add(nanos);
    }

    /**
     * Records a request that was aborted. It counts only if it already ran longer than the mean, as a lower bound of
     * its service time.
     */
    void recordAborted(String requestClass, long nanos) {
        if (nanos > meanNanos(requestClass)) {
            recordCompleted(requestClass, nanos);
        }
    }

    /** Mean over all classes, in nanoseconds; zero before the first sample. */
    long meanNanos() {
        return (long) overall.mean;
    }

    /** Mean of one class, in nanoseconds; the mean over all classes if this one has no samples. */
    long meanNanos(String requestClass) {
        return (long) average(requestClass).mean;
    }

    /**
     * A time within which nearly every request of the class finishes, in nanoseconds: the mean plus four mean
     * deviations.
     */
    long upperBoundNanos(String requestClass) {
        Average average = average(requestClass);
        return (long) (average.mean + UPPER_BOUND_DEVIATIONS * average.deviation);
    }

    private Average average(String requestClass) {
        return byClass.getOrDefault(requestClass, overall);
    }

    private static final class Average {
        private double mean;
        private double deviation;
        private long count;

        private void add(long nanos) {
            count++;
            double gain = Math.max(SMOOTHING_FACTOR, 1.0 / count);
            double error = nanos - mean;
            mean += gain * error;
            deviation += gain * (Math.abs(error) - deviation);
        }
    }
}
