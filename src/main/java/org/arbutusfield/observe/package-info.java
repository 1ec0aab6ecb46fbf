/** What operators see: metrics and the burn of service-level objectives. */
package org.arbutusfield.observe;
