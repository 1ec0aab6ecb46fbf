package org.arbutusfield.model;

import java.util.List;

/**
 * How requests of one sort are treated. A request belongs to the first class of its service whose method and path
 * prefix match.
 *
 * @param name unique within the service
 * @param methods HTTP methods; empty means every method
 * @param pathPrefix path prefix; empty means every path
 * @param repeatable whether running the request twice is harmless
 * @param interactive whether a person waits for it; leisure requests give way
 * @param deadlineMillis time the caller allows when it names none, in milliseconds
 */
public record RequestClass(
        String name,
        List<String> methods,
        String pathPrefix,
        boolean repeatable,
        boolean interactive,
        long deadlineMillis) {

    /** Copies the list so that the class stays immutable. */
    public RequestClass {
        methods = List.copyOf(methods);
    }

    /** True when a request with this method and path belongs to the class. */
    public boolean matches(String method, String path) {
        return (methods.isEmpty() || methods.contains(method)) && path.startsWith(pathPrefix);
    }
}
