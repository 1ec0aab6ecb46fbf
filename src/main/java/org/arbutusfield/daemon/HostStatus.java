package org.arbutusfield.daemon;

import java.util.List;
import org.arbutusfield.dispatch.SlotGroupStatus;

/**
 * What a host says of itself on its admin port.
 *
 * @param host its name
 * @param state {@code serving} or {@code leaving}
 * @param region its region
 * @param failureDomain its failure domain
 * @param incarnation tells processes of one name apart
 * @param revision revision in force; 0 for none
 * @param digest digest of the revision in force; empty for none
 * @param inFlight requests that run or wait
 * @param alive hosts that it holds to be alive, itself included
 * @param leader whether it holds its failure domain's lease
 * @param groups admission, per service of its region
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

    /** Copies the list so that the status stays immutable. */
    public HostStatus {
        groups = List.copyOf(groups);
    }
}
