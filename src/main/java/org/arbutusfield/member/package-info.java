/** Which hosts of the system are there: heartbeats between hosts joined with the platform's lagging list. */
package org.arbutusfield.member;
