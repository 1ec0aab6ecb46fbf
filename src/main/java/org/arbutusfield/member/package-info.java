/**
 * Membership: which hosts are present, from heartbeats between hosts combined with the platform's host list, which
 * lags.
 */
package org.arbutusfield.member;
