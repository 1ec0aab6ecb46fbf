/**
 * What a host concludes from its own links to upstreams. When it has lost those to all upstreams of a service, it
 * passes requests on through hosts that still reach them, and returns step by step. When an upstream's port was closed,
 * it takes that upstream for cold after its return.
 */
package org.arbutusfield.reach;
