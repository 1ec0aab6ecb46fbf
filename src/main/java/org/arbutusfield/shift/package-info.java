/** Traffic between regions: caps and their shares, budgets of links, and when to spill and to return. */
package org.arbutusfield.shift;
