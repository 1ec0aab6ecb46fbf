package org.arbutusfield.proxy;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The count of one request against its team's limit: taken once, whatever the number of attempts, and given back if the
 * request certainly reached no upstream. Confined to the request's event loop.
 */
final class RequestCount {
    /** Refusals by which another host states that it sent the request to no upstream. */
    private static final Set<ErrorCode> NOT_SENT_BY_HOST = EnumSet.of(ErrorCode.HOST_BUSY, ErrorCode.HOST_CUT_OFF);

    private Optional<TeamLimiter.Use> use = Optional.empty();
    private boolean taken;
    private boolean arrivedBefore;
    private boolean mayHaveArrived;

    private RequestCount() {}

    static RequestCount none() {
        return new RequestCount();
    }

    /** True once the request was counted. */
    boolean taken() {
        return taken;
    }

    void take(TeamLimiter.Use counted) {
        taken = true;
        use = Optional.of(counted);
    }

    /** Called when an attempt starts to send the request. */
    void sending() {
        arrivedBefore = mayHaveArrived;
        mayHaveArrived = true;
    }

    /**
     * Called when an attempt failed.
     *
     * @param target target of the attempt
     * @param failure the failure
     * @param sent whether the attempt had started to send the request
     */
    void attemptFailed(PlacementTarget target, Failure failure, boolean sent) {
        boolean stated = target instanceof PlacementTarget.HostTarget && NOT_SENT_BY_HOST.contains(failure.code());
        if (sent && stated) {
            mayHaveArrived = arrivedBefore;
        }
    }

    /** Called at the end of the request. */
    void finish() {
        Optional<TeamLimiter.Use> held = use;
        use = Optional.empty();
        if (!mayHaveArrived) {
            held.ifPresent(TeamLimiter.Use::giveBack);
        }
    }
}
