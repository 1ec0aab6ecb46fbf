/** Follows the platform's store: routes, upstreams, drains and hosts as they change, through outages of the store. */
package org.arbutusfield.state;
