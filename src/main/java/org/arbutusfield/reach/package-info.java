/**
 * What a host does when it has lost its links to the upstreams of a service: it passes requests on through hosts that
 * still reach them, and returns to its own links step by step.
 */
package org.arbutusfield.reach;
