/** Measures ways to share servers among entry hosts, in virtual time. Not part of the product. */
package org.arbutusfield.lab.admission;
