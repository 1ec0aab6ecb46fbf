/** Small helpers that several packages share. */
package org.arbutusfield.misc;
