package org.arbutusfield.distribution;

import org.arbutusfield.member.HostListSource;
import org.arbutusfield.store.Store;

/**
 * What the platform gives a host's control plane, and how its content is read.
 *
 * @param store keeps the leases
 * @param source the store's configurations
 * @param repair mends a store that is behind what is in force
 * @param hostList the lagging list of hosts
 * @param check whether a received configuration is genuine and usable
 */
public record PlatformServices(
        Store store, ConfigurationSource source, StoreRepair repair, HostListSource hostList, SnapshotCheck check) {}
