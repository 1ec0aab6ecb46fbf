/** Experiment with ways to merge the latency distributions of many hosts. */
package org.arbutusfield.lab.sketch;
