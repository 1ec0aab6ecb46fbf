/** Admission control: which request may use which slot of which upstream, and when a request is refused instead. */
package org.arbutusfield.admission;
