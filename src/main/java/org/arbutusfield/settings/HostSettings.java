package org.arbutusfield.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The validated settings of an entry host.
 *
 * @param name unique host name
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param callerAddress address for connections of callers
 * @param controlAddress address for control connections of other hosts
 * @param adminAddress address of the admin port, for operators and the platform
 * @param operatorTokenFile file with the token for calls that change state; if absent, such calls are not allowed
 * @param storeAddress address of the store
 * @param storeTimeout timeout of a store call
 * @param seeds control addresses of the hosts to contact at start
 * @param lookupMaxAge how long callers may cache a look-up response
 * @param eventLoops number of event loop threads
 * @param maxCallerConnections maximum number of connections from callers
 * @param maxBufferedBytes maximum number of bytes of request and response bodies in memory
 * @param drainLimit maximum wait for running requests at a graceful stop
 */
public record HostSettings(
        String name,
        String region,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress adminAddress,
        Optional<Path> operatorTokenFile,
        InetSocketAddress storeAddress,
        Duration storeTimeout,
        List<InetSocketAddress> seeds,
        Duration lookupMaxAge,
        int eventLoops,
        int maxCallerConnections,
        long maxBufferedBytes,
        Duration drainLimit) {

    /** Copies the list, to keep the record immutable. */
    public HostSettings {
        seeds = List.copyOf(seeds);
    }
}
