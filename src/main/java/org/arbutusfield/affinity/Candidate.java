package org.arbutusfield.affinity;

import org.arbutusfield.lookup.WeightedRendezvous;

/**
 * An upstream that may be assigned objects.
 *
 * @param name name of the upstream
 * @param slots number of requests that it runs concurrently
 * @param nameHash hash of its name, for rendezvous hashing
 */
public record Candidate(String name, int slots, long nameHash) {
    /** Creates a candidate and computes the hash of its name. */
    public static Candidate of(String name, int slots) {
        return new Candidate(name, slots, WeightedRendezvous.hash(name));
    }
}
