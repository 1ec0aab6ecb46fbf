/** Interfaces of the key-value stores that the system uses, and a client of one of them over HTTP. */
package org.arbutusfield.store;
