/** Benchmark of claims of idempotency keys. */
package org.arbutusfield.lab.claim;
