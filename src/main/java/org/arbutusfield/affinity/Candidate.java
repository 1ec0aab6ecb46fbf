package org.arbutusfield.affinity;

import org.arbutusfield.lookup.Rendezvous;

/**
 * An upstream that may be home to objects.
 *
 * @param name its name
 * @param slots requests that it runs at once
 * @param nameHash hash of its name, for rendezvous
 */
public record Candidate(String name, int slots, long nameHash) {
    /** An upstream by its name. */
    public static Candidate of(String name, int slots) {
        return new Candidate(name, slots, Rendezvous.hash(name));
    }
}
