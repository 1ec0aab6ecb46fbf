package org.arbutusfield.admission;

/**
 * An entry host's question for a slot of any server of a service in the broker's region.
 *
 * @param requestId unique over all hosts and their restarts; a repeated question carries the same id
 * @param host name of the asking host
 * @param hostIncarnation grows with each restart of the host
 * @param failureDomain failure domain of the asking host
 * @param service name of the service
 * @param requestClass name of the request class, under which service times are measured
 * @param priority order of service
 * @param remainingNanos time left until the request's deadline, in nanoseconds
 */
public record SlotRequest(
        String requestId,
        String host,
        long hostIncarnation,
        String failureDomain,
        String service,
        String requestClass,
        Priority priority,
        long remainingNanos)
        implements BrokerMessage {}
