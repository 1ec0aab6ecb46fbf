/** Measuring programs for claims of idempotency keys. */
package org.arbutusfield.lab.claim;
