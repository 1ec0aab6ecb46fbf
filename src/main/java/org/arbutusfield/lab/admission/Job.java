package org.arbutusfield.lab.admission;

import org.arbutusfield.admission.Priority;

/**
 * One caller's request.
 *
 * @param id unique identifier
 * @param region number of the region in which it arrives
 * @param host number, within the region, of the host at which it arrives
 * @param priority order of service
 * @param arrivalNanos time of arrival, in nanoseconds of virtual time
 * @param serviceNanos time that a server needs for it, in nanoseconds
 * @param deadlineNanos time from which its response is useless, in nanoseconds of virtual time
 */
record Job(
        String id, int region, int host, Priority priority, long arrivalNanos, long serviceNanos, long deadlineNanos) {}
