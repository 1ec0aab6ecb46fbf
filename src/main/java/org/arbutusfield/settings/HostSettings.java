package org.arbutusfield.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The checked settings of one entry host.
 *
 * @param name unique host name
 * @param region region it stands in
 * @param failureDomain failure domain it stands in
 * @param callerAddress where callers connect
 * @param controlAddress where other hosts connect
 * @param adminAddress where operators and the platform connect
 * @param operatorTokenFile file with the token for calls that change state; without it none is allowed
 * @param storeAddress the platform's store
 * @param storeTimeout limit for one store call
 * @param seeds control addresses of hosts to contact first
 * @param lookupMaxAge how long callers may cache a look-up answer
 * @param eventLoops threads that serve connections
 * @param maxCallerConnections connections from callers
 * @param maxBufferedBytes bytes of bodies held at once
 * @param drainLimit longest wait for running requests at a stop
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

    /** Copies the list so that the settings stay immutable. */
    public HostSettings {
        seeds = List.copyOf(seeds);
    }
}
