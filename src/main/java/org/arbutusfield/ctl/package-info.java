/** The command-line tool for operators. */
package org.arbutusfield.ctl;
