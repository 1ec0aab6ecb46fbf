/** The adapter for the users' platform: its names, message formats and calls. Decides nothing. */
package org.arbutusfield.platform;
