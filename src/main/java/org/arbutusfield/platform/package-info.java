/** The adapter for the users' platform: its names, message formats and calls. It decides nothing. */
package org.arbutusfield.platform;
