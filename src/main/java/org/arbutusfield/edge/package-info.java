/** The entry host that uses the platform's store: wiring, settings, registration, look-ups and shutdown. */
package org.arbutusfield.edge;
