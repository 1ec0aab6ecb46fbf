/** The adapter for the users' platform: its names, message formats and calls. Contains no placement decisions. */
package org.arbutusfield.platform;
