/** The operators' command-line tool. */
package org.arbutusfield.ctl;
