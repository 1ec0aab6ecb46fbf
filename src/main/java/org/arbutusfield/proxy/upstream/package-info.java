/** Connections to upstreams and to other entry hosts: pools, reuse, and what is known of a request sent on them. */
package org.arbutusfield.proxy.upstream;
