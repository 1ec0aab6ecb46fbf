/** Measuring programs for the request path. */
package org.arbutusfield.lab.proxy;
