/**
 * Session affinity of objects. For each service one host, the planner, assigns every object an upstream, its home, and
 * balances load; the other hosts cache the plan.
 */
package org.arbutusfield.affinity;
