/** Stand-ins for what surrounds the system, a load generator and experiments. Nothing in the daemon depends on them. */
package org.arbutusfield.lab;
