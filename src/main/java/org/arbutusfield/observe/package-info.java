/** Metrics, and the burn rate of service-level objectives, for operators. */
package org.arbutusfield.observe;
