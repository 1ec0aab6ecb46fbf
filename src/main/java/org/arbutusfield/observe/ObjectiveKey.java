package org.arbutusfield.observe;

/**
 * Names one objective in one region.
 *
 * @param service the service
 * @param region the region of the hosts that took the requests
 * @param requestClass the request class
 */
public record ObjectiveKey(String service, String region, String requestClass) implements Comparable<ObjectiveKey> {
    @Override
    public int compareTo(ObjectiveKey other) {
        return toString().compareTo(other.toString());
    }
}
