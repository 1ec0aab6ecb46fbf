package org.arbutusfield.lab.admission;

import org.arbutusfield.admission.Priority;

/**
 * One caller's request.
 *
 * @param id unique
 * @param region region at which it arrives
 * @param host number of the host within the region at which it arrives
 * @param priority order of service
 * @param arrivalNanos when it arrives
 * @param serviceNanos time that a server needs for it
 * @param deadlineNanos when its answer is no longer of use
 */
record Job(
        String id, int region, int host, Priority priority, long arrivalNanos, long serviceNanos, long deadlineNanos) {}
