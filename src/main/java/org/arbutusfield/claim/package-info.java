/** Claims of idempotency keys, so that a request that may not be repeated runs at most once across all entry hosts. */
package org.arbutusfield.claim;
