/** Distribution of accepted configurations to all hosts. No host returns to an older revision. */
package org.arbutusfield.distribution;
