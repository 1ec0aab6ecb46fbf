package org.arbutusfield.lookup;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Drain;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.Link;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Site;

/**
 * Everything from which look-up answers are computed: hosts, client blocks, configuration and region shifts. Immutable;
 * a change of any part makes a new view with a new version.
 */
public final class LookupView {
    private final long version;
    private final long hostListNanos;
    private final Configuration configuration;
    private final BlockTable blocks;
    private final Map<String, RegionShift> shifts;
    private final Map<String, List<Candidate>> hostsByRegion;
    private final String[] domainBySite;

    private LookupView(
            Version version,
            Configuration configuration,
            List<EntryHost> hosts,
            BlockTable blocks,
            String localFailureDomain,
            List<RegionShift> shifts) {
        this.version = version.number();
        this.hostListNanos = version.hostListNanos();
        this.configuration = configuration;
        this.blocks = blocks;
        this.shifts = new HashMap<>();
        shifts.forEach(shift -> this.shifts.put(shift.from(), shift));
        this.hostsByRegion = eligibleHosts(configuration, hosts);
        this.domainBySite = domainsBySite(configuration, blocks, localFailureDomain);
    }

    /**
     * Version number of a view, and the time of its host list.
     *
     * @param number increases with each view of this process
     * @param hostListNanos monotonic time of the view's host list
     */
    public record Version(long number, long hostListNanos) {}

    /** A host that answers may contain, with the hash of its name. */
    record Candidate(EntryHost host, long nameHash) {}

    /**
     * A view of the given parts.
     *
     * @param version version number of the view and time of its host list
     * @param configuration the configuration in force
     * @param hosts all known hosts, in any state
     * @param blocks table of the configuration's client blocks
     * @param localFailureDomain failure domain of this host; also used for callers that no block covers
     * @param shifts callers moved between regions; at most one shift per home region
     */
    public static LookupView of(
            Version version,
            Configuration configuration,
            List<EntryHost> hosts,
            BlockTable blocks,
            String localFailureDomain,
            List<RegionShift> shifts) {
        return new LookupView(version, configuration, hosts, blocks, localFailureDomain, shifts);
    }

    /** Version number; increases with each view of this process. */
    public long version() {
        return version;
    }

    /** Monotonic time of the view's host list. */
    public long hostListNanos() {
        return hostListNanos;
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Failure domain nearest to a caller; this host's own when no block covers the address. */
    public String nearestFailureDomain(int address) {
        return domainBySite[blocks.siteNumber(address)];
    }

    /** Region nearest to a caller; empty only when the configuration lacks this host's failure domain. */
    public Optional<String> homeRegion(int address) {
        return configuration.failureDomain(nearestFailureDomain(address)).map(FailureDomain::region);
    }

    /** The shift of a region's callers, if there is one. */
    Optional<RegionShift> shiftOf(String region) {
        return Optional.ofNullable(shifts.get(region));
    }

    /** The hosts of a region that answers may contain: serving and not drained. */
    List<Candidate> candidates(String region) {
        return hostsByRegion.getOrDefault(region, List.of());
    }

    /**
     * Regions to which movement rules let the service's callers of a home region go, ordered by preference, then by
     * delay.
     */
    List<String> allowedRegions(String service, String home) {
        return configuration.items(MoveRule.class).stream()
                .filter(rule -> rule.service().equals(service) && rule.from().equals(home))
                .sorted(Comparator.comparingInt(MoveRule::preference)
                        .thenComparingDouble(rule -> delayMillis(home, rule.to()))
                        .thenComparing(MoveRule::to))
                .map(MoveRule::to)
                .toList();
    }

    private double delayMillis(String from, String to) {
        return configuration
                .find(Kind.LINK, from + ">" + to)
                .map(link -> ((Link) link).oneWayMillis())
                .orElse(Double.MAX_VALUE);
    }

    private static Map<String, List<Candidate>> eligibleHosts(Configuration configuration, List<EntryHost> hosts) {
        Map<String, List<Candidate>> regions = new HashMap<>();
        for (EntryHost host : hosts) {
            boolean drained = configuration.drained(Drain.Target.HOST, host.name())
                    || configuration.drained(Drain.Target.FAILURE_DOMAIN, host.failureDomain())
                    || configuration.drained(Drain.Target.REGION, host.region());
            if (host.serving() && !drained) {
                regions.computeIfAbsent(host.region(), name -> new ArrayList<>())
                        .add(new Candidate(host, WeightedRendezvous.hash(host.name())));
            }
        }
        regions.replaceAll((name, list) -> List.copyOf(list));
        return regions;
    }

    private static String[] domainsBySite(Configuration configuration, BlockTable blocks, String local) {
        String[] domainsBySite = new String[blocks.siteCount() + 1];
        for (int number = 0; number < domainsBySite.length; number++) {
            domainsBySite[number] = configuration
                    .find(Kind.SITE, blocks.siteName(number))
                    .map(site -> ((Site) site).failureDomain())
                    .orElse(local);
        }
        return domainsBySite;
    }
}
