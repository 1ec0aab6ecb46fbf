/** Set-up of the logging library: one root logger whose lines are written in batches and never block their caller. */
package org.arbutusfield.log;
