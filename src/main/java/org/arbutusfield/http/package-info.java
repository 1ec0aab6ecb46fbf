/**
 * Small whole HTTP messages for control: admin endpoints, the store adapter, tools. Request bodies of callers do not
 * pass here.
 */
package org.arbutusfield.http;
