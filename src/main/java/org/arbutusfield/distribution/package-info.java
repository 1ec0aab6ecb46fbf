/** How an accepted configuration comes into force on every host and never goes back. */
package org.arbutusfield.distribution;
