package org.arbutusfield.steering;

/**
 * The upstream chosen for a request, and the reason.
 *
 * @param upstream name of the upstream
 * @param reason why it was chosen
 * @param home home of the request's object; {@code -} if none is known
 * @param inFlight this host's other requests in flight to the upstream
 * @param candidates number of upstreams that were considered; 1 when the home was used directly
 * @param sharedRate requests per second that the upstream accepts from all hosts together; 0 if it is not limited
 * @param hosts number of hosts that this host knows
 * @param revision revision of the store that the state reflects
 */
public record Choice(
        String upstream,
        Reason reason,
        String home,
        int inFlight,
        int candidates,
        double sharedRate,
        int hosts,
        long revision) {

    /** Why an upstream was chosen. */
    public enum Reason {
        /** It is the object's home. */
        HOME,
        /** The home is unknown or can't be used; the first in the rendezvous order of the object was chosen. */
        HASHED,
        /**
         * By the stated load the home is too busy; the first upstream with room in the order of the object was chosen.
         */
        LOAD,
        /** The request concerns no object; the less loaded of two random upstreams was chosen. */
        LESS_BUSY
    }
}
