/** Experiments and benchmarks for traffic shifts, look-ups and server health. Not part of the daemon. */
package org.arbutusfield.lab.shift;
