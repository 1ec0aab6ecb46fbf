package org.arbutusfield.model;

import java.util.List;
import java.util.Optional;

/**
 * A service that callers send requests to.
 *
 * @param name unique name, used as the first path segment or the Host of requests
 * @param latencyWeight weight of latency in the steering objective, zero or more
 * @param headroomWeight weight of headroom in the steering objective, zero or more
 * @param coldRampSeconds time over which traffic moved to a cold region ramps up to its full share, in seconds
 * @param classes request classes in order of precedence; the last must match every request
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

    /** Copies the lists, to keep the record immutable. */
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

    /** Returns the first request class that matches, if any. */
    public Optional<RequestClass> requestClassFor(String method, String path) {
        return classes.stream().filter(c -> c.matches(method, path)).findFirst();
    }
}
