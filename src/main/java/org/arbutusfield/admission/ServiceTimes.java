package org.arbutusfield.admission;

import java.util.HashMap;
import java.util.Map;

/** Mean and mean deviation of service times by request class, both as exponentially weighted averages. */
final class ServiceTimes {
    private static final double GAIN = 1.0 / 64;
    private static final int DEVIATIONS = 4;

    private final Map<String, Average> classes = new HashMap<>();
    private final Average all = new Average();

    private ServiceTimes() {}

    static ServiceTimes create() {
        return new ServiceTimes();
    }

    void completed(String requestClass, long nanos) {
        all.add(nanos);
        classes.computeIfAbsent(requestClass, name -> new Average()).add(nanos);
    }

    /** A request that was ended early shows only that it would have taken longer. */
    void cutOff(String requestClass, long nanos) {
        if (nanos > meanNanos(requestClass)) {
            completed(requestClass, nanos);
        }
    }

    /** Mean over all classes, in nanoseconds; zero until something was measured. */
    long meanNanos() {
        return (long) all.mean;
    }

    /** Mean of one class, in nanoseconds; of all classes when this one was not measured yet. */
    long meanNanos(String requestClass) {
        return (long) average(requestClass).mean;
    }

    /** A time within which nearly every request of the class finishes, in nanoseconds. */
    long safeNanos(String requestClass) {
        Average average = average(requestClass);
        return (long) (average.mean + DEVIATIONS * average.deviation);
    }

    private Average average(String requestClass) {
        return classes.getOrDefault(requestClass, all);
    }

    private static final class Average {
        private double mean;
        private double deviation;
        private long count;

        private void add(long nanos) {
            count++;
            double gain = Math.max(GAIN, 1.0 / count);
            double error = nanos - mean;
            mean += gain * error;
            deviation += gain * (Math.abs(error) - deviation);
        }
    }
}
