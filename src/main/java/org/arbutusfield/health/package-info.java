/**
 * Health of upstreams as seen by one host: from the results of requests first and of probes second, with a limit on how
 * many upstreams may be excluded.
 */
package org.arbutusfield.health;
