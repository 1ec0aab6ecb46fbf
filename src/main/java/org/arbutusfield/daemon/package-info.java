/** The daemon of an entry host: start, admin port and graceful stop. */
package org.arbutusfield.daemon;
