package org.arbutusfield.note;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.Failure;

/** The faults found in one note, bounded. Not thread-safe. */
final class ValidationFailures {
    /** Most faults that are kept; the rest is only counted. */
    static final int MAX_FAILURES = 1000;

    private final List<Failure> failures = new ArrayList<>();

    /** Adds a fault, unless the list is full. */
    void add(Failure failure) {
        if (!isFull()) {
            failures.add(failure);
        }
    }

    /** Adds several faults. */
    void addAll(List<Failure> failures) {
        failures.forEach(this::add);
    }

    /** True when further faults are not kept. */
    boolean isFull() {
        return failures.size() >= MAX_FAILURES;
    }

    /** True when no fault was found. */
    boolean isEmpty() {
        return failures.isEmpty();
    }

    /** The faults in the order in which they were found. */
    List<Failure> toList() {
        return List.copyOf(failures);
    }
}
