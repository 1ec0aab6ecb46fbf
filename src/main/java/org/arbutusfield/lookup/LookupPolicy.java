package org.arbutusfield.lookup;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.FailureDomain;

/**
 * Decides which entry hosts a caller should use.
 *
 * <p><b>Problem.</b> There is no load balancer in front of the hosts; the look-up answers balance the load. A caller
 * uses its answer until the maximum age, so the answer must stay useful when a host or a failure domain is lost, and
 * the answers together must not send all callers to one host.
 *
 * <p><b>Idea.</b> The caller's /24 block is hashed into one of {@link #CALLER_GROUPS} caller groups. For a group and
 * the caller's nearest failure domain, weighted rendezvous hashing orders the hosts of the home region. The answer
 * takes hosts from the failure domains in turn, nearest first, and then fallbacks from the allowed regions in order
 * until it has more than {@code HOME_HOSTS} hosts. When a {@link RegionShift} moves callers, the groups below its share
 * get the target region first.
 *
 * <p><b>Invariants.</b> An answer never contains a leaving, suspected or drained host, nor a host of another region
 * that no movement rule allows. Equal views give equal answers on every host. An answer depends only on service,
 * failure domain, caller group and freshness, so that it can be cached as bytes.
 *
 * <p><b>Example.</b> Home region with domains a (a1, a2) and b (b1): {@code [a2, b1, a1]} with weight, then {@code [d3,
 * d1]} of the next region with weight 0.
 */
public final class LookupPolicy {
    /** Number of groups into which caller blocks are hashed. */
    public static final int CALLER_GROUPS = 512;

    /** Maximum age of an answer while the host list is fresh, in seconds. */
    public static final int MAX_AGE_SECONDS = 5;

    /** Maximum age of an answer while the host list is stale or callers are being moved, in seconds. */
    public static final int SHORT_MAX_AGE_SECONDS = 2;

    /** A host list older than this is stale. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(5);

    private static final int HOME_HOSTS = 3;
    private static final int FALLBACK_HOSTS = 2;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final int BLOCK_BITS = 8;

    private LookupPolicy() {}

    /**
     * The answer for one caller.
     *
     * @param view hosts, blocks and configuration
     * @param service the requested service
     * @param address the caller's IPv4 address as 32 bits
     * @param nowNanos monotonic time
     * @return the answer; {@code SERVICE_UNKNOWN}, or {@code NO_UPSTREAM} when no allowed region has a usable host
     */
    public static Either<Failure, LookupAnswer> answer(LookupView view, String service, int address, long nowNanos) {
        String domain = view.nearestFailureDomain(address);
        return answer(view, service, domain, callerGroup(address), stale(view, nowNanos));
    }

    /** The group of a caller: 0 to {@link #CALLER_GROUPS} - 1, equal for all addresses of a /24 block. */
    public static int callerGroup(int address) {
        return (int) (WeightedRendezvous.mix(address >>> BLOCK_BITS) >>> 32) & (CALLER_GROUPS - 1);
    }

    /** Whether the view's host list is older than {@link #STALE_AFTER}. */
    public static boolean stale(LookupView view, long nowNanos) {
        return nowNanos - view.hostListNanos() > STALE_AFTER.toNanos();
    }

    /** The answer for all callers of a group whose nearest failure domain is the given one. */
    static Either<Failure, LookupAnswer> answer(
            LookupView view, String service, String domain, int group, boolean stale) {
        if (view.configuration().service(service).isEmpty()) {
            return Either.left(Failure.of(ErrorCode.SERVICE_UNKNOWN, service));
        }
        String home = view.configuration()
                .failureDomain(domain)
                .map(FailureDomain::region)
                .orElse("");
        List<String> regions = regions(view, service, home, group);
        List<LookupAnswer.Entry> entries = new ArrayList<>(HOME_HOSTS + FALLBACK_HOSTS);
        for (String region : regions) {
            boolean first = entries.isEmpty();
            int limit = first ? HOME_HOSTS : FALLBACK_HOSTS;
            for (EntryHost host : selectHosts(view.candidates(region), domain, group, limit)) {
                entries.add(new LookupAnswer.Entry(host, first ? host.weight() : 0));
            }
            if (!first && entries.size() > HOME_HOSTS) {
                break;
            }
        }
        if (entries.isEmpty()) {
            return Either.left(
                    Failure.of(ErrorCode.NO_UPSTREAM, service, "no entry host").withRetryAfter(RETRY_AFTER));
        }
        boolean moving = view.shiftOf(home).isPresent();
        int maxAge = stale || moving ? SHORT_MAX_AGE_SECONDS : MAX_AGE_SECONDS;
        return Either.right(new LookupAnswer(service, maxAge, entries));
    }

    private static List<String> regions(LookupView view, String service, String home, int group) {
        List<String> allowed = view.allowedRegions(service, home);
        List<String> regions = new ArrayList<>(allowed.size() + 1);
        regions.add(home);
        regions.addAll(allowed);
        Optional<RegionShift> shift = view.shiftOf(home);
        if (shift.isPresent()
                && allowed.contains(shift.get().to())
                && group < shift.get().share() * CALLER_GROUPS) {
            regions.remove(shift.get().to());
            regions.add(0, shift.get().to());
        }
        return regions;
    }

    /**
     * Selects hosts from the failure domains in turn, starting with the nearest domain; within a domain in rendezvous
     * order.
     */
    private static List<EntryHost> selectHosts(
            List<LookupView.Candidate> candidates, String nearest, int group, int limit) {
        long key = WeightedRendezvous.mix(group + 1L);
        List<LookupView.Candidate> remaining = new ArrayList<>(candidates);
        remaining.sort(Comparator.comparingDouble((LookupView.Candidate c) ->
                        -WeightedRendezvous.score(c.nameHash(), key, c.host().weight()))
                .thenComparing(c -> c.host().name()));
        List<EntryHost> chosen = new ArrayList<>(limit);
        List<String> usedDomains = new ArrayList<>(limit);
        usedDomains.add(nearest);
        moveFirst(remaining, c -> c.host().failureDomain().equals(nearest), chosen);
        while (chosen.size() < limit && !remaining.isEmpty()) {
            if (!moveFirst(remaining, c -> !usedDomains.contains(c.host().failureDomain()), chosen)) {
                usedDomains.clear();
                continue;
            }
            usedDomains.add(chosen.get(chosen.size() - 1).failureDomain());
        }
        return chosen;
    }

    private static boolean moveFirst(
            List<LookupView.Candidate> remaining, Predicate<LookupView.Candidate> condition, List<EntryHost> chosen) {
        for (int i = 0; i < remaining.size(); i++) {
            if (condition.test(remaining.get(i))) {
                chosen.add(remaining.remove(i).host());
                return true;
            }
        }
        return false;
    }
}
