/** Release notes: reading, checking, and turning one running state into the next as a whole. */
package org.arbutusfield.note;
