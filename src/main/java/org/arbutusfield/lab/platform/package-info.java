/** Stand-ins of the users' platform for tests and demonstrations: its store and its servers, on loopback. */
package org.arbutusfield.lab.platform;
