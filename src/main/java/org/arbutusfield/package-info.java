/** Arbutusfield: global traffic steering between callers and upstreams. */
package org.arbutusfield;
