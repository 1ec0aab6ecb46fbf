package org.arbutusfield.dispatch;

/**
 * How one group of servers stands on this host.
 *
 * @param group service and region
 * @param broker host that runs the broker
 * @param fallback whether this host uses its base share because the broker is silent
 * @param waiting requests of this host that wait for a slot
 * @param capacity slots usable, as this host's broker sees it; 0 if it runs none
 * @param inUse slots in use, as this host's broker sees it
 * @param backlog requests that wait in this host's broker
 */
public record SlotGroupStatus(
        String group, String broker, boolean fallback, int waiting, int capacity, int inUse, int backlog) {}
