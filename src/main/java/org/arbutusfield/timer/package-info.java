/** Clock and scheduler behind one interface, so that tests run the system in virtual time. */
package org.arbutusfield.timer;
