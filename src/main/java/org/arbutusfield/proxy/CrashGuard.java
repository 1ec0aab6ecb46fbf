package org.arbutusfield.proxy;

import java.util.List;
import java.util.function.Supplier;

/**
 * Tells which requests end the upstreams that run them, and learns it from interrupted runs. A request has two
 * fingerprints: one that is equal when anybody sends it again, and one when the same caller does.
 *
 * <p>Contract: no call blocks. All are made on the event loop of a request.
 */
public interface CrashGuard {
    /** End of the fingerprints that hold only for one caller. */
    String OF_CALLER = "-caller";

    /** Suspects no request. */
    CrashGuard NONE = new CrashGuard() {
        @Override
        public boolean hasSuspects() {
            return false;
        }

        @Override
        public boolean suspect(String fingerprint) {
            return false;
        }

        @Override
        public boolean quarantined(String fingerprint) {
            return false;
        }

        @Override
        public void answered(Supplier<List<String>> fingerprints) {}

        @Override
        public void runInterrupted(InterruptedRun run) {}
    };

    /** False while no request is suspect, which spares the computation of fingerprints. */
    boolean hasSuspects();

    /** True if the request may be the cause of an upstream's end; it is not repeated without the caller's asking. */
    boolean suspect(String fingerprint);

    /** True if the request must not reach an upstream. */
    boolean quarantined(String fingerprint);

    /**
     * Called when an upstream has answered a request.
     *
     * @param fingerprints computes the fingerprints
     */
    void answered(Supplier<List<String>> fingerprints);

    /** Called when a connection to an upstream was lost while the upstream may have been running a request. */
    void runInterrupted(InterruptedRun run);
}
