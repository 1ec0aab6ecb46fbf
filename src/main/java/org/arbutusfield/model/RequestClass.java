package org.arbutusfield.model;

import java.util.List;

/**
 * A class of requests and how they are handled. A request belongs to the first class of its service whose methods and
 * path prefix match.
 *
 * @param name name, unique within the service
 * @param methods HTTP methods; empty means every method
 * @param pathPrefix path prefix; empty means every path
 * @param repeatable whether the request is idempotent, that is, safe to run twice
 * @param interactive whether a user waits for the response; other requests have lower priority
 * @param deadlineMillis deadline for requests whose caller states none, in milliseconds
 */
public record RequestClass(
        String name,
        List<String> methods,
        String pathPrefix,
        boolean repeatable,
        boolean interactive,
        long deadlineMillis) {

    /** Copies the list, to keep the record immutable. */
    public RequestClass {
        methods = List.copyOf(methods);
    }

    /** True when a request with this method and path belongs to the class. */
    public boolean matches(String method, String path) {
        return (methods.isEmpty() || methods.contains(method)) && path.startsWith(pathPrefix);
    }
}
