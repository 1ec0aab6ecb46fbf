/**
 * Runs admission and placement on a host: slot requests between hosts, cross-region forwarding, look-ups and retry
 * budgets.
 */
package org.arbutusfield.dispatch;
