/**
 * Configuration of the logging library: one root logger that writes lines in batches and never blocks the logging
 * thread.
 */
package org.arbutusfield.log;
