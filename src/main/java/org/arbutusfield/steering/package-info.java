/** Chooses the upstream of each request on one host, and limits retries and requests to cold upstreams. */
package org.arbutusfield.steering;
