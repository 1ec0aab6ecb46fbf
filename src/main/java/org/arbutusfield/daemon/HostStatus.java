package org.arbutusfield.daemon;

import java.util.List;
import org.arbutusfield.dispatch.SlotGroupStatus;

/**
 * The status that a host reports on its admin port.
 *
 * @param host host name
 * @param state {@code serving} or {@code leaving}
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param incarnation distinguishes successive processes with the same host name
 * @param revision revision in force; 0 for none
 * @param digest digest of the revision in force; empty for none
 * @param inFlight number of running and waiting requests
 * @param alive number of hosts that it considers alive, including itself
 * @param leader whether it holds the leader lease of its failure domain
 * @param groups admission status of each service in its region
 */
public record HostStatus(
        String host,
        String state,
        String region,
        String failureDomain,
        long incarnation,
        long revision,
        String digest,
        int inFlight,
        int alive,
        boolean leader,
        List<SlotGroupStatus> groups) {

    /** Copies the list, to keep the record immutable. */
    public HostStatus {
        groups = List.copyOf(groups);
    }
}
