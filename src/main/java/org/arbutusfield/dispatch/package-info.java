/** Carries placement decisions out between hosts: slot questions over the control port, and spill to other regions. */
package org.arbutusfield.dispatch;
