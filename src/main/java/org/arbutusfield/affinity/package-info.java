/** Which upstream is home to an object: one planner a service balances objects, and hosts keep its answers. */
package org.arbutusfield.affinity;
