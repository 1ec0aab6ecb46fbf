package org.arbutusfield.steering;

/**
 * Where a request goes, and what decided it.
 *
 * @param upstream the upstream
 * @param reason why that one
 * @param home home of the request's object; {@code -} if none is known
 * @param inFlight this host's other requests at the upstream
 * @param candidates upstreams that were considered; 1 where the home was free to use
 * @param revision revision of the store that the state reflects
 */
public record Choice(String upstream, Reason reason, String home, int inFlight, int candidates, long revision) {

    /** Why an upstream was chosen. */
    public enum Reason {
        /** It is home to the object. */
        HOME,
        /** The home is not known, or not to be used; hashing decides. */
        HASHED,
        /** The request concerns no object; the less busy one of two. */
        LESS_BUSY
    }
}
