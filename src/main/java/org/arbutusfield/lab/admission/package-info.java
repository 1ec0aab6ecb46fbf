/** Simulates, in virtual time, strategies for sharing servers among entry hosts. Not part of the product. */
package org.arbutusfield.lab.admission;
