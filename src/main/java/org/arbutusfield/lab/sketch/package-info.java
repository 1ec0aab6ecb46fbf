/** Measures ways to merge latency distributions of many hosts. */
package org.arbutusfield.lab.sketch;
