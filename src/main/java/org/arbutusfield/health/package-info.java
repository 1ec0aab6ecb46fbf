/** Health of upstreams as a host sees it: signals of requests first, probes second, and a floor under both. */
package org.arbutusfield.health;
