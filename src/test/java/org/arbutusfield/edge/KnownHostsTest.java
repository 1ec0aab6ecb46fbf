package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusfield.state.HostEntry;
import org.junit.jupiter.api.Test;

/** Addresses of registered hosts. */
class KnownHostsTest {
    private static HostEntry host(String callerAddress) {
        return new HostEntry("h", "gulf", "gulf-a", callerAddress, "10.0.0.9:2", 420);
    }

    /**
     * Guards against a sender that is believed after its host's entry was removed, or by an address of another kind.
     */
    @Test
    void addressesFollowTheList() throws UnknownHostException {
        AtomicReference<List<HostEntry>> hosts = new AtomicReference<>(List.of());
        KnownHosts known = KnownHosts.of(hosts::get);
        InetAddress first = InetAddress.getByName("10.0.0.1");
        assertThat(known.test(first)).isFalse();
        hosts.set(List.of(host("10.0.0.1:80"), host("10.0.0.2:80"), host("unreadable")));
        assertThat(known.test(first)).isTrue();
        assertThat(known.test(InetAddress.getByName("10.0.0.9"))).isFalse();
        hosts.set(List.of(host("10.0.0.2:80")));
        assertThat(known.test(first)).isFalse();
    }
}
