/**
 * A randomized soak of the edge host: real processes on one machine, faults injected from outside by a loopback proxy
 * and by signals, and promises checked by what callers and upstreams see.
 */
package org.arbutusfield.lab.soak;
