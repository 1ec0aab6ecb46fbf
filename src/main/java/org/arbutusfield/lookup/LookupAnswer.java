package org.arbutusfield.lookup;

import java.util.List;

/**
 * The answer to a look-up: entry hosts in the order in which the caller should try them.
 *
 * @param service the requested service
 * @param maxAgeSeconds how long the caller may use the answer, in seconds
 * @param entries hosts in order: first those with a weight, then the fallbacks
 */
public record LookupAnswer(String service, int maxAgeSeconds, List<Entry> entries) {

    /**
     * One host of an answer.
     *
     * @param host the host
     * @param weight share of the caller's requests relative to the others; 0 marks a fallback, used when no host with a
     *     weight responds
     */
    public record Entry(EntryHost host, double weight) {}

    /** Copies the list so that the answer stays immutable. */
    public LookupAnswer {
        entries = List.copyOf(entries);
    }
}
