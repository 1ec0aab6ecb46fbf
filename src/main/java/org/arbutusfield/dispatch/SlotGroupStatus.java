package org.arbutusfield.dispatch;

/**
 * Status of one group of upstreams on this host.
 *
 * @param group service and region
 * @param broker host that runs the broker
 * @param fallback whether this host uses its base share because the broker is unreachable
 * @param waiting requests of this host that wait for a slot
 * @param capacity usable slots according to this host's broker; 0 if it runs none
 * @param inUse slots in use according to this host's broker; 0 if it runs none
 * @param backlog requests queued at this host's broker; 0 if it runs none
 */
public record SlotGroupStatus(
        String group, String broker, boolean fallback, int waiting, int capacity, int inUse, int backlog) {}
