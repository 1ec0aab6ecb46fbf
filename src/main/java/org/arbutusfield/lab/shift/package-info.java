/** Measuring programs for traffic shifts, look-ups and health. Not part of the daemon. */
package org.arbutusfield.lab.shift;
