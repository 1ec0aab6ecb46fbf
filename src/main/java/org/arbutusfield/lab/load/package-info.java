/** A load generator that behaves like a caller: it looks up hosts, caches the result, and checks every response. */
package org.arbutusfield.lab.load;
