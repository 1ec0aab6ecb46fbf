/** The settings file of an entry host: one table of options, a checked reader, the immutable result. */
package org.arbutusfield.settings;
