/** Claims idempotency keys, so that a non-repeatable request runs at most once across all entry hosts. */
package org.arbutusfield.claim;
