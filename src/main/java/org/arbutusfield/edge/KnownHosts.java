package org.arbutusfield.edge;

import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.state.HostEntry;

/**
 * Tells whether an IP address is that of a registered host. The addresses are collected once for each list of hosts.
 * Confined to one event loop.
 */
final class KnownHosts implements Predicate<InetAddress> {
    private final Supplier<List<HostEntry>> hosts;
    private List<HostEntry> collected = List.of();
    private Set<InetAddress> addresses = Set.of();

    private KnownHosts(Supplier<List<HostEntry>> hosts) {
        this.hosts = hosts;
    }

    /** Creates a test by the list that the supplier returns; a changed list must be another object. */
    static KnownHosts of(Supplier<List<HostEntry>> hosts) {
        return new KnownHosts(hosts);
    }

    @Override
    public boolean test(InetAddress address) {
        List<HostEntry> current = hosts.get();
        if (current != collected) {
            collected = current;
            addresses = current.stream()
                    .map(host -> Addresses.parse(host.callerAddress()))
                    .flatMap(Optional::stream)
                    .map(parsed -> parsed.getAddress())
                    .collect(Collectors.toUnmodifiableSet());
        }
        return addresses.contains(address);
    }
}
