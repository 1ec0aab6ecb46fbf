/** Traffic between regions: caps and their shares, link budgets, and the decisions when to spill and when to return. */
package org.arbutusfield.shift;
