/** Teams of callers, and the keys that identify them. */
package org.arbutusfield.team;
