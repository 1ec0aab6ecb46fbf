/** Time as a service: the parts subscribe to it, so that tests run them in virtual time. */
package org.arbutusfield.timer;
