package org.arbutusfield.observe;

/**
 * Identifies one objective in one region.
 *
 * @param service name of the service
 * @param region region of the hosts that accepted the requests
 * @param requestClass name of the request class
 */
public record ObjectiveKey(String service, String region, String requestClass) implements Comparable<ObjectiveKey> {
    @Override
    public int compareTo(ObjectiveKey other) {
        return toString().compareTo(other.toString());
    }
}
