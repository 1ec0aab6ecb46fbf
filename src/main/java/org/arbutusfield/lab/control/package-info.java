/** Experiments on control between hosts: in virtual time with thin stand-ins, and in one process over loopback. */
package org.arbutusfield.lab.control;
