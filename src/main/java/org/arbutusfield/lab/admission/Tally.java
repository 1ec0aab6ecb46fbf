package org.arbutusfield.lab.admission;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.arbutusfield.admission.Priority;

/** Counts of one run, from the end of its warm-up to its end. */
final class Tally {
    private static final int DIGITS = 3;

    private final int slots;
    private final long startNanos;
    private final Histogram latency = new Histogram(DIGITS);
    private final Histogram wait = new Histogram(DIGITS);
    private final Histogram interactiveWait = new Histogram(DIGITS);
    private final Map<Priority, long[]> byPriority = new EnumMap<>(Priority.class);
    private long arrived;
    private long refused;
    private long late;
    private long lost;
    private long sheds;
    private long messages;
    private long usefulNanos;
    private int running;
    private int inSystem;
    private double idleWhileWaiting;
    private long changedNanos;
    private boolean open;

    private Tally(int slots, long startNanos) {
        this.slots = slots;
        this.startNanos = startNanos;
        for (Priority priority : Priority.values()) {
            byPriority.put(priority, new long[2]);
        }
    }

    static Tally of(int slots, long startNanos) {
        return new Tally(slots, startNanos);
    }

    Histogram latency() {
        return latency;
    }

    Histogram waits() {
        return wait;
    }

    Histogram interactiveWaits() {
        return interactiveWait;
    }

    double refusedShare() {
        return share(refused);
    }

    double lateShare() {
        return share(late);
    }

    double lostShare() {
        return share(lost);
    }

    double shedsPerRequest() {
        return share(sheds);
    }

    double messagesPerRequest() {
        return share(messages);
    }

    /** Share of requests of a priority that were completed. */
    double completedShare(Priority priority) {
        long[] counts = byPriority.get(priority);
        return counts[0] == 0 ? 0 : counts[1] / (double) counts[0];
    }

    /** Share of slot time spent on requests that were completed. */
    double goodput(long endNanos) {
        return usefulNanos / ((double) slots * (endNanos - startNanos));
    }

    /** Share of slot time that was idle while a request waited that could have used it. */
    double idleWhileWaitingShare(long endNanos) {
        return idleWhileWaiting / ((double) slots * (endNanos - startNanos));
    }

    void open(long nowNanos) {
        change(nowNanos);
        open = true;
        changedNanos = nowNanos;
    }

    void arrived(Job job, long nowNanos) {
        change(nowNanos);
        inSystem++;
        arrived += open ? 1 : 0;
        byPriority.get(job.priority())[0] += open ? 1 : 0;
    }

    void completed(Job job, long nowNanos) {
        change(nowNanos);
        inSystem--;
        if (open && job.arrivalNanos() >= startNanos) {
            byPriority.get(job.priority())[1]++;
            latency.recordValue(nowNanos - job.arrivalNanos());
            long waited = Math.max(0, nowNanos - job.arrivalNanos() - job.serviceNanos());
            wait.recordValue(waited);
            if (job.priority() == Priority.INTERACTIVE) {
                interactiveWait.recordValue(waited);
            }
        }
        usefulNanos += open ? job.serviceNanos() : 0;
    }

    void refused(long nowNanos) {
        change(nowNanos);
        inSystem--;
        refused += open ? 1 : 0;
    }

    void late(long nowNanos) {
        change(nowNanos);
        inSystem--;
        late += open ? 1 : 0;
    }

    void lost(long nowNanos) {
        change(nowNanos);
        inSystem--;
        lost += open ? 1 : 0;
    }

    void shed() {
        sheds += open ? 1 : 0;
    }

    void message() {
        messages += open ? 1 : 0;
    }

    void running(int by, long nowNanos) {
        change(nowNanos);
        running += by;
    }

    private void change(long nowNanos) {
        if (open) {
            long waiting = Math.max(0, inSystem - running);
            idleWhileWaiting += (double) (nowNanos - changedNanos) * Math.min(waiting, slots - running);
        }
        changedNanos = nowNanos;
    }

    private double share(long count) {
        return arrived == 0 ? 0 : count / (double) arrived;
    }
}
