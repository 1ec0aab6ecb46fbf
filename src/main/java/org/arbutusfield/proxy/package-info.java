/** The request path: callers' HTTP in, look-ups answered, requests forwarded to upstreams. */
package org.arbutusfield.proxy;
