/** Helpers that belong to no other package. Kept small: code with a subject of its own gets a package. */
package org.arbutusfield.misc;
