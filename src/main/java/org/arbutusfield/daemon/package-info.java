/** The daemon of an entry host: settings, start, graceful stop. */
package org.arbutusfield.daemon;
