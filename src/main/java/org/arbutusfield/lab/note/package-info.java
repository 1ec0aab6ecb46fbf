/** Benchmark of release notes and of the configuration that they build. */
package org.arbutusfield.lab.note;
