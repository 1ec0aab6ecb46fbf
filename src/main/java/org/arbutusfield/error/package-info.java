/** The one table of failures and the value that carries them. */
package org.arbutusfield.error;
