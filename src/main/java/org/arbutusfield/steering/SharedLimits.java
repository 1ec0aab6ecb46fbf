package org.arbutusfield.steering;

import org.arbutusfield.quota.UpstreamQuota;

/**
 * This host's parts of the limits on all hosts together.
 *
 * @param retryBudget limits retries; it records each request of a caller, and knows the size of the fleet
 * @param quota gives permissions to send requests to limited upstreams
 */
public record SharedLimits(HostRetryBudget retryBudget, UpstreamQuota quota) {}
