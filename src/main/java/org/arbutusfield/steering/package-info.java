/** Decides on one host which upstream a request goes to, how often it is tried, and when it is refused. */
package org.arbutusfield.steering;
