/** Stand-ins for the store and the servers of the users' platform, on loopback, for tests and demonstrations. */
package org.arbutusfield.lab.platform;
