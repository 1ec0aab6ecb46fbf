package org.arbutusfield.model;

import java.util.List;
import java.util.Optional;

/**
 * A service that callers ask for.
 *
 * @param name unique name, used as the first path segment or the Host of requests
 * @param latencyWeight weight of latency in the steering objective, zero or more
 * @param headroomWeight weight of headroom in the steering objective, zero or more
 * @param coldRampSeconds time over which traffic moved to a cold region grows to its full share
 * @param classes request classes in order of match; the last should match everything
 * @param objectives service-level objectives
 */
public record Service(
        String name,
        double latencyWeight,
        double headroomWeight,
        int coldRampSeconds,
        List<RequestClass> classes,
        List<Objective> objectives)
        implements Entity {

    /** Copies the lists so that the service stays immutable. */
    public Service {
        classes = List.copyOf(classes);
        objectives = List.copyOf(objectives);
    }

    @Override
    public Kind kind() {
        return Kind.SERVICE;
    }

    @Override
    public String key() {
        return name;
    }

    /** The first class that matches, if any. */
    public Optional<RequestClass> requestClassFor(String method, String path) {
        return classes.stream().filter(c -> c.matches(method, path)).findFirst();
    }
}
