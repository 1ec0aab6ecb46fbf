package org.arbutusfield.lookup;

/**
 * One host of the system as the live view knows it.
 *
 * @param name unique name
 * @param region region it stands in
 * @param failureDomain failure domain it stands in
 * @param host its IP address
 * @param port TCP port for callers
 * @param state whether it may be named to callers
 * @param weight relative capacity, above zero
 */
public record EntryHost(
        String name, String region, String failureDomain, String host, int port, State state, double weight) {

    /** Whether a host may be named to callers. */
    public enum State {
        /** Heard from lately and not leaving. */
        SERVING,
        /** Finishes its work and takes no new callers. */
        LEAVING,
        /** Not heard from for longer than the heartbeat timeout. */
        SUSPECT
    }

    /** True when callers may be sent here. */
    public boolean serving() {
        return state == State.SERVING;
    }
}
