/** Release notes: parsing, validating, and applying them atomically to the active configuration. */
package org.arbutusfield.note;
