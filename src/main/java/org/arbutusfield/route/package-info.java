/** The operator's routes: which requests go to which services, and under which conditions. */
package org.arbutusfield.route;
