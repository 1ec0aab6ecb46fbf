/** The request path: accepts HTTP requests from callers, answers look-ups, and forwards requests to upstreams. */
package org.arbutusfield.proxy;
