package org.arbutusfield.distribution;

import org.arbutusfield.member.HostListSource;
import org.arbutusfield.store.Store;

/**
 * Services of the platform that a host's control plane uses.
 *
 * @param store holds the leases
 * @param source reads configurations from the store
 * @param repair repairs a store that is behind the configuration in force
 * @param hostList reads the platform's host list, which lags
 * @param check decides whether a received configuration is authentic and usable
 */
public record PlatformServices(
        Store store, ConfigurationSource source, StoreRepair repair, HostListSource hostList, SnapshotCheck check) {}
