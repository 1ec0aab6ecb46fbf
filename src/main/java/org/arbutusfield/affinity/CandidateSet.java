package org.arbutusfield.affinity;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The upstreams that may serve the objects of one group, prepared for many look-ups. Immutable. */
final class CandidateSet {
    private final Set<String> names;
    private final Map<String, Candidate> usableByName;
    private final double usableSlots;

    private CandidateSet(Set<String> names, Map<String, Candidate> usableByName, double usableSlots) {
        this.names = names;
        this.usableByName = usableByName;
        this.usableSlots = usableSlots;
    }

    /**
     * Creates a set.
     *
     * @param candidates all upstreams that may serve the objects
     * @param usable those of them that may get objects now
     */
    static CandidateSet of(List<Candidate> candidates, List<Candidate> usable) {
        Map<String, Candidate> all = byName(candidates);
        double slots = 0;
        for (Candidate candidate : usable) {
            slots += candidate.slots();
        }
        return new CandidateSet(Set.copyOf(all.keySet()), byName(usable), slots);
    }

    /** Names of all upstreams that may serve the objects. */
    Set<String> names() {
        return names;
    }

    /** The upstreams that may get objects now. */
    Collection<Candidate> usable() {
        return usableByName.values();
    }

    /** Total slots of the upstreams that may get objects now. */
    double usableSlots() {
        return usableSlots;
    }

    /** Returns the named upstream if it may get objects now. */
    Optional<Candidate> usable(String name) {
        return Optional.ofNullable(usableByName.get(name));
    }

    private static Map<String, Candidate> byName(List<Candidate> candidates) {
        Map<String, Candidate> byName = new HashMap<>();
        candidates.forEach(candidate -> byName.put(candidate.name(), candidate));
        return byName;
    }
}
