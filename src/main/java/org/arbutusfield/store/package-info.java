/** The platform's key-value store behind one small interface. */
package org.arbutusfield.store;
