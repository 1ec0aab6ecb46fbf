/** Stand-ins for the store and the upstreams, a load generator and experiments. The daemon does not depend on them. */
package org.arbutusfield.lab;
