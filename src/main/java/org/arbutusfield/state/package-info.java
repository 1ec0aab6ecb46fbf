/** A host's copy of the store: routes, upstreams, drains and hosts, kept current through outages of the store. */
package org.arbutusfield.state;
