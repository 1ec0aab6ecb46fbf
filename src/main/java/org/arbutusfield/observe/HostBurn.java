package org.arbutusfield.observe;

import java.util.List;

/**
 * One process's burn counts. Name and incarnation tell answers of one process apart from those of another, so that no
 * process is counted twice.
 *
 * @param host the host's name
 * @param incarnation the process
 * @param rows one for each objective
 */
public record HostBurn(String host, long incarnation, List<BurnRow> rows) {
    /** Copies the list so that the counts stay immutable. */
    public HostBurn {
        rows = List.copyOf(rows);
    }
}
