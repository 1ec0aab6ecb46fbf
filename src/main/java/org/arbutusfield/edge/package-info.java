/** The entry host that lives on the platform's store: wiring, settings, registration, look-ups and stop. */
package org.arbutusfield.edge;
