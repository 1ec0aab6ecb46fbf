package org.arbutusfield.lab.admission;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.arbutusfield.admission.Priority;

/** Statistics of one run, from the end of its warm-up to its end. */
final class RunStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int slots;
    private final long startNanos;
    private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram waitTimes = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram interactiveWaitTimes = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<Priority, long[]> countsByPriority = new EnumMap<>(Priority.class);
    private long arrived;
    private long refused;
    private long late;
    private long lost;
    private long sheds;
    private long messages;
    private long completedServiceNanos;
    private int running;
    private int inSystem;
    private double idleWhileWaitingNanos;
    private long lastChangeNanos;
    private boolean measuring;

    private RunStatistics(int slots, long startNanos) {
        this.slots = slots;
        this.startNanos = startNanos;
        for (Priority priority : Priority.values()) {
            countsByPriority.put(priority, new long[2]);
        }
    }

    static RunStatistics of(int slots, long startNanos) {
        return new RunStatistics(slots, startNanos);
    }

    Histogram latency() {
        return latency;
    }

    Histogram waitTimes() {
        return waitTimes;
    }

    Histogram interactiveWaitTimes() {
        return interactiveWaitTimes;
    }

    double refusedShare() {
        return perArrival(refused);
    }

    double lateShare() {
        return perArrival(late);
    }

    double lostShare() {
        return perArrival(lost);
    }

    double shedsPerRequest() {
        return perArrival(sheds);
    }

    double messagesPerRequest() {
        return perArrival(messages);
    }

    /** Share of requests of a priority that were completed. */
    double completedShare(Priority priority) {
        long[] counts = countsByPriority.get(priority);
        return counts[0] == 0 ? 0 : counts[1] / (double) counts[0];
    }

    /** Share of slot time spent on requests that were completed. */
    double goodput(long endNanos) {
        return completedServiceNanos / ((double) slots * (endNanos - startNanos));
    }

    /** Share of slot time that was idle although a waiting request could have used it. */
    double idleWhileWaitingShare(long endNanos) {
        return idleWhileWaitingNanos / ((double) slots * (endNanos - startNanos));
    }

    void startMeasuring(long nowNanos) {
        accumulateIdleTime(nowNanos);
        measuring = true;
        lastChangeNanos = nowNanos;
    }

    void recordArrival(Job job, long nowNanos) {
        accumulateIdleTime(nowNanos);
        inSystem++;
        arrived += measuring ? 1 : 0;
        countsByPriority.get(job.priority())[0] += measuring ? 1 : 0;
    }

    void recordCompleted(Job job, long nowNanos) {
        accumulateIdleTime(nowNanos);
        inSystem--;
        if (measuring && job.arrivalNanos() >= startNanos) {
            countsByPriority.get(job.priority())[1]++;
            latency.recordValue(nowNanos - job.arrivalNanos());
            long waited = Math.max(0, nowNanos - job.arrivalNanos() - job.serviceNanos());
            waitTimes.recordValue(waited);
            if (job.priority() == Priority.INTERACTIVE) {
                interactiveWaitTimes.recordValue(waited);
            }
        }
        completedServiceNanos += measuring ? job.serviceNanos() : 0;
    }

    void recordRefused(long nowNanos) {
        accumulateIdleTime(nowNanos);
        inSystem--;
        refused += measuring ? 1 : 0;
    }

    void recordLate(long nowNanos) {
        accumulateIdleTime(nowNanos);
        inSystem--;
        late += measuring ? 1 : 0;
    }

    void recordLost(long nowNanos) {
        accumulateIdleTime(nowNanos);
        inSystem--;
        lost += measuring ? 1 : 0;
    }

    void recordShed() {
        sheds += measuring ? 1 : 0;
    }

    void recordMessage() {
        messages += measuring ? 1 : 0;
    }

    void recordRunningChange(int delta, long nowNanos) {
        accumulateIdleTime(nowNanos);
        running += delta;
    }

    private void accumulateIdleTime(long nowNanos) {
        if (measuring) {
            long waiting = Math.max(0, inSystem - running);
            idleWhileWaitingNanos += (double) (nowNanos - lastChangeNanos) * Math.min(waiting, slots - running);
        }
        lastChangeNanos = nowNanos;
    }

    private double perArrival(long count) {
        return arrived == 0 ? 0 : count / (double) arrived;
    }
}
