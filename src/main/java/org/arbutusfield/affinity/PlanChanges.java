package org.arbutusfield.affinity;

import java.util.Map;

/**
 * Homes that changed in a plan.
 *
 * @param homes names of upstreams by object key
 * @param version version of the plan up to which changes are included
 */
record PlanChanges(Map<Long, String> homes, long version) {}
