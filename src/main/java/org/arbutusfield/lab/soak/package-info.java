/**
 * A randomized soak test of the edge host. It runs real processes on one machine, injects faults from outside with a
 * loopback proxy and signals, and checks the guarantees by what callers and upstreams observe.
 */
package org.arbutusfield.lab.soak;
