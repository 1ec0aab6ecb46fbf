package org.arbutusfield.steer;

import java.time.Duration;
import org.arbutusfield.lookup.Rendezvous;

/**
 * Whom an upstream with too much work refuses: less urgent requests first, and among equals by the request's id, so
 * that no caller is singled out.
 *
 * <p>Example: of 100 requests, half of them urgent, 70 may be admitted. 30 of the others are refused.
 */
public final class Triage {
    private static final double HASH_UNIT = 0x1.0p-53;
    /** Most of a class that is refused, so that no class goes without service. */
    private static final double MOST_REFUSED = 0.7;

    private static final Duration SOONEST_RETURN = Duration.ofMillis(600);
    private static final Duration RETURN_SPREAD = Duration.ofMillis(800);

    private Triage() {}

    /**
     * True when the request is admitted.
     *
     * @param admitted part of the upstream's requests that is admitted
     * @param urgent whether no other class of the service is more urgent
     * @param requestId the request's id
     */
    public static boolean admits(double admitted, boolean urgent, String requestId) {
        double refused = 1 - admitted;
        double ofOthers = Math.min(MOST_REFUSED, 2 * refused);
        double ofUrgent = Math.min(MOST_REFUSED, 2 * refused - ofOthers);
        return point(requestId) >= (urgent ? ofUrgent : ofOthers);
    }

    /** When a refused caller should come back: later the less is admitted, and spread so that not all come at once. */
    public static Duration comeBack(double admitted, String requestId) {
        double spread = (1 - admitted + point(requestId)) / 2;
        return SOONEST_RETURN.plus(Duration.ofMillis(Math.round(RETURN_SPREAD.toMillis() * spread)));
    }

    private static double point(String requestId) {
        return (Rendezvous.mix(Rendezvous.hash(requestId) + 1) >>> 11) * HASH_UNIT;
    }
}
