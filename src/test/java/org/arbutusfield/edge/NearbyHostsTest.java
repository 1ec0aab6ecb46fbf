package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.state.HostEntry;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Number of hosts returned to a caller in {@code gulf/gulf-a}, by the number of hosts in each failure domain. */
class NearbyHostsTest {
    private static final int[] CAPACITIES = {1500, 420, 210};

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
        assertThat(NearbyHosts.of(hosts, "gulf", "gulf-a", 0)).hasSize(expected);
    }

    private static void add(List<HostEntry> hosts, int count, String region, String domain) {
        for (int i = 0; i < count; i++) {
            hosts.add(new HostEntry(domain + "-" + i, region, domain, "127.0.0.1:1", "127.0.0.1:2", 420));
        }
    }

    private static HostEntry host(int number, int capacity) {
        return new HostEntry("h" + number, "gulf", "gulf-a", "127.0.0.1:" + number, "127.0.0.1:2", capacity);
    }

    private static List<HostEntry> mixed(int count) {
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(host(i, CAPACITIES[i % CAPACITIES.length]));
        }
        return hosts;
    }

    /** Probability that a caller that takes an address at random gets a host, by the host. */
    private static Map<HostEntry, Double> shares(List<HostEntry> hosts) {
        Map<HostEntry, Double> shares = new HashMap<>();
        int answers = 1024;
        for (int answer = 0; answer < answers; answer++) {
            List<HostEntry> selected = NearbyHosts.of(hosts, "gulf", "gulf-a", answer);
            selected.forEach(host -> shares.merge(host, 1.0 / answers / selected.size(), Double::sum));
        }
        return shares;
    }

    /** A host with 0.21 cores got as many callers as one with 1.5 cores. */
    @ParameterizedTest
    @ValueSource(ints = {12, 30, 121, 600})
    void shareOfCallersFollowsTheCapacity(int count) {
        List<HostEntry> hosts = mixed(count);
        Map<Integer, Double> byCapacity = new HashMap<>();
        shares(hosts).forEach((host, share) -> byCapacity.merge(host.capacity(), share, Double::sum));
        double total = hosts.stream().mapToInt(HostEntry::capacity).sum();
        byCapacity.forEach(
                (capacity, share) -> assertThat(share).isCloseTo(capacity * (count / 3) / total, Offset.offset(0.03)));
    }

    /** A caller needs a second host when the first fails, also among one large host and many small ones. */
    @Test
    void eachAnswerHasTwoHosts() {
        List<HostEntry> hosts = List.of(host(0, 1500), host(1, 10), host(2, 10));
        for (int answer = 0; answer < 1024; answer++) {
            assertThat(NearbyHosts.of(hosts, "gulf", "gulf-a", answer)).hasSizeGreaterThanOrEqualTo(2);
        }
    }

    /** Hosts that are alike are all in each answer, as before, so that the answer does not change with its number. */
    @Test
    void answersAreEqualWhereHostsAreAlike() {
        List<HostEntry> hosts = List.of(host(0, 1000), host(1, 1500), host(2, 1200));
        for (int answer = 0; answer < 64; answer++) {
            assertThat(NearbyHosts.of(hosts, "gulf", "gulf-a", answer)).isEqualTo(hosts);
        }
    }

    /** A host that goes must not change which of the other hosts an answer includes. */
    @Test
    void removedHostChangesNoOtherHostOfAnAnswer() {
        List<HostEntry> hosts = mixed(30);
        List<HostEntry> rest = new ArrayList<>(hosts);
        HostEntry removed = rest.remove(4);
        for (int answer = 0; answer < 1024; answer++) {
            List<HostEntry> before = new ArrayList<>(NearbyHosts.of(hosts, "gulf", "gulf-a", answer));
            before.remove(removed);
            assertThat(NearbyHosts.of(rest, "gulf", "gulf-a", answer)).isEqualTo(before);
        }
    }
}
