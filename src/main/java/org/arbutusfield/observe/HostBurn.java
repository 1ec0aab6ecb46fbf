package org.arbutusfield.observe;

import java.util.List;

/**
 * The burn counts of one process. Host name and incarnation identify the process, so that none is counted twice.
 *
 * @param host name of the host
 * @param incarnation incarnation number of the process
 * @param rows one row for each objective
 */
public record HostBurn(String host, long incarnation, List<BurnRow> rows) {
    /** Copies the list so that the record is immutable. */
    public HostBurn {
        rows = List.copyOf(rows);
    }
}
