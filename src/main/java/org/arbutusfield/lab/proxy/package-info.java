/** Benchmark of the request path. */
package org.arbutusfield.lab.proxy;
