package org.arbutusfield.note;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.Failure;

/** The faults found in one note, bounded. Not thread-safe. */
final class Faults {
    /** Most faults that are kept; the rest is only counted. */
    static final int MAX_KEPT = 1000;

    private final List<Failure> kept = new ArrayList<>();

    /** Adds a fault, unless the list is full. */
    void add(Failure fault) {
        if (!full()) {
            kept.add(fault);
        }
    }

    /** Adds several faults. */
    void addAll(List<Failure> faults) {
        faults.forEach(this::add);
    }

    /** True when further faults are not kept. */
    boolean full() {
        return kept.size() >= MAX_KEPT;
    }

    /** True when no fault was found. */
    boolean none() {
        return kept.isEmpty();
    }

    /** The faults in the order in which they were found. */
    List<Failure> list() {
        return List.copyOf(kept);
    }
}
