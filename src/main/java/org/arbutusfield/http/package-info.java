/**
 * HTTP client and server for small messages held in memory: admin endpoints, the store adapter, tools. Requests of
 * callers do not pass through this package.
 */
package org.arbutusfield.http;
