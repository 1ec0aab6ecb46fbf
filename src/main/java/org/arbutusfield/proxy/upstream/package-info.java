/** Connections to upstreams and to other hosts: pooling, reuse, and tracking of the request on each connection. */
package org.arbutusfield.proxy.upstream;
