/**
 * Upstreams that accept a limited rate of requests from all hosts together. One host, the leader, keeps the count for
 * all: a host that has a request for such an upstream asks it for the permission to send one.
 *
 * <p>Stages of one request: {@link org.arbutusfield.quota.QuotaClient} asks, {@link org.arbutusfield.quota.Leadership}
 * tells the asked host whether it leads for certain, {@link org.arbutusfield.quota.QuotaServer} decides with one
 * {@link org.arbutusfield.quota.TokenBucket} an upstream, and the request must be sent before its
 * {@link org.arbutusfield.quota.QuotaGrant} expires.
 */
package org.arbutusfield.quota;
