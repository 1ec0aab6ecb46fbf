package org.arbutusfield.steer;

import org.arbutusfield.proxy.Outcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.UpstreamLoad;

/** A permit that keeps what the upstream told of its queue until the request ends. Confined to one event loop. */
final class CountedPermit implements Permit {
    private final Ending ending;
    private int waiting;

    CountedPermit(Ending ending) {
        this.ending = ending;
    }

    /** Takes over the end of a request. */
    @FunctionalInterface
    interface Ending {
        /**
         * The request ended.
         *
         * @param outcome how
         * @param serviceNanos nanoseconds from the sending to the end of the answer; 0 if nothing was sent
         * @param waiting requests that waited at the upstream when it answered
         */
        void ended(Outcome outcome, long serviceNanos, int waiting);
    }

    @Override
    public void loadTold(UpstreamLoad load) {
        waiting = load.waiting();
    }

    @Override
    public void release(Outcome outcome, long serviceNanos) {
        ending.ended(outcome, serviceNanos, waiting);
    }
}
