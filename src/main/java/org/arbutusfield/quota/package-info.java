/**
 * Upstreams that accept a limited rate of requests from all hosts together. One host, the leader, keeps the count for
 * all: a host that has a request for such an upstream asks it for the permission to send one.
 *
 * <p>Stages of one request: {@link org.arbutusfield.quota.QuotaClient} asks, {@link org.arbutusfield.quota.Leadership}
 * tells the asked host whether it leads for certain, {@link org.arbutusfield.quota.QuotaServer} decides with one
 * {@link org.arbutusfield.quota.TokenBucket} an upstream, and the request must be sent before its
 * {@link org.arbutusfield.quota.QuotaGrant} expires.
 *
 * <p>Limits that upstreams name: a host hears them in responses ({@link org.arbutusfield.quota.LimitKnowledge}) and
 * reports them; {@link org.arbutusfield.quota.LimitRegister} decides at the leader which are in force, and
 * {@link org.arbutusfield.quota.LimitBroadcast} tells all hosts of those that begin.
 */
package org.arbutusfield.quota;
