package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.state.HostEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Number of hosts returned to a caller in {@code gulf/gulf-a}, by the number of hosts in each failure domain. */
class NearbyHostsTest {

    @ParameterizedTest
    @CsvSource({
        "4,   2, 3,   4",
        "2,   9, 9,   2",
        "1,   2, 3,   3",
        "0,   2, 3,   2",
        "1,   0, 3,   4",
        "0,   0, 3,   3",
        "0,   0, 0,   0",
        "100, 0, 0,   64",
    })
    void hostCountByCallerProximity(int inDomain, int inRegion, int elsewhere, int expected) {
        List<HostEntry> hosts = new ArrayList<>();
        add(hosts, inDomain, "gulf", "gulf-a");
        add(hosts, inRegion, "gulf", "gulf-b");
        add(hosts, elsewhere, "delta", "delta-a");
        assertThat(NearbyHosts.of(hosts, "gulf", "gulf-a")).hasSize(expected);
    }

    private static void add(List<HostEntry> hosts, int count, String region, String domain) {
        for (int i = 0; i < count; i++) {
            hosts.add(new HostEntry(domain + "-" + i, region, domain, "127.0.0.1:1", "127.0.0.1:2", 420));
        }
    }
}
