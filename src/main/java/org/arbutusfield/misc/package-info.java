/** The few helpers that belong to no stage. Kept tiny. */
package org.arbutusfield.misc;
