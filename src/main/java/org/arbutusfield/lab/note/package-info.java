/** Measuring programs for release notes and the running state. */
package org.arbutusfield.lab.note;
