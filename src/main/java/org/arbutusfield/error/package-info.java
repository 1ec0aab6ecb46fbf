/** The table of all failures, and the type that represents one failure. */
package org.arbutusfield.error;
