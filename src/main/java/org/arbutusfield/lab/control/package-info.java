/**
 * Experiments with the control plane between hosts: in virtual time on a simulated network, and in one process over
 * loopback.
 */
package org.arbutusfield.lab.control;
