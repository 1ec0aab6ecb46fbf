package org.arbutusfield.admission;

/**
 * An entry host's request for a slot on any upstream of a service in the broker's region.
 *
 * @param requestId unique over all hosts and their restarts; a request that is sent again carries the same id
 * @param host name of the requesting host
 * @param hostIncarnation increases with each restart of the host
 * @param failureDomain failure domain of the requesting host
 * @param service name of the service
 * @param requestClass name of the request class, by which service times are measured
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
