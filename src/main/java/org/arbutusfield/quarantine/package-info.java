/**
 * Keeps requests that end every upstream that runs them from reaching further ones. Hosts report which requests
 * upstreams were running when they ended; a few hosts count for each request, and what they find reaches all hosts
 * directly and through the store.
 */
package org.arbutusfield.quarantine;
