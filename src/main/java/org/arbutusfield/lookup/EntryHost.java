package org.arbutusfield.lookup;

/**
 * A host that callers can send requests to, with its current state.
 *
 * @param name unique name
 * @param region its region
 * @param failureDomain its failure domain
 * @param host its IP address
 * @param port TCP port for callers
 * @param state whether look-ups may return it
 * @param weight relative capacity, above zero
 */
public record EntryHost(
        String name, String region, String failureDomain, String host, int port, State state, double weight) {

    /** Whether look-ups may return a host. */
    public enum State {
        /** Sends heartbeats and is not leaving. */
        SERVING,
        /** Finishes its running requests and accepts no new callers. */
        LEAVING,
        /** Has sent no heartbeat within the heartbeat timeout. */
        SUSPECT
    }

    /** Whether look-ups may return this host. */
    public boolean serving() {
        return state == State.SERVING;
    }
}
