/** The request path: accepts HTTP requests from callers, answers lookups, and forwards requests to upstreams. */
package org.arbutusfield.proxy;
