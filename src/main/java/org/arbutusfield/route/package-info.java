/** The operator's routes: which service gets each request, and under which conditions. */
package org.arbutusfield.route;
