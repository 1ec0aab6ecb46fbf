/** Look-ups: tells callers which entry hosts to use, from client blocks, live hosts and the configuration. */
package org.arbutusfield.lookup;
