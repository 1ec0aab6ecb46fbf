/** Release notes: parsing, validating, and applying them atomically to the current configuration. */
package org.arbutusfield.note;
