/**
 * A load generator that behaves as callers do: it looks hosts up, caches the answer, and checks every answer it gets.
 */
package org.arbutusfield.lab.load;
