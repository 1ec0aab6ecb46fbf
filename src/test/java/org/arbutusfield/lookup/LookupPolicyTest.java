package org.arbutusfield.lookup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Drain;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Link;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Site;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LookupPolicyTest {
    private static final List<EntryHost.State> STATES = List.of(EntryHost.State.values());
    private static final int CALLER = Ipv4Block.parseAddress("10.1.2.3").get();
    private static final List<ClientBlock> BLOCKS = List.of(new ClientBlock("10.1.0.0/16", "town"));

    @Test
    void answerHasSeveralHomeDomainsThenFallbackRegion() {
        LookupAnswer answer = lookUp(view(hosts(4), List.of(), List.of()), CALLER);
        assertThat(answer.entries()).hasSize(5);
        assertThat(answer.entries().get(0).host().failureDomain()).isEqualTo("gulf-a");
        assertThat(answer.entries().get(1).host().failureDomain()).isEqualTo("gulf-b");
        assertThat(answer.entries().subList(0, 3)).allMatch(e -> e.weight() > 0);
        assertThat(answer.entries().subList(3, 5))
                .allMatch(e -> e.weight() == 0 && e.host().region().equals("delta"));
        assertThat(answer.maxAgeSeconds()).isEqualTo(LookupPolicy.MAX_AGE_SECONDS);
    }

    @Test
    void callerBlocksAreBalancedOverHosts() {
        LookupView view = view(hosts(6), List.of(), List.of());
        Map<String, Double> load = new HashMap<>();
        int callers = 20_000;
        for (int i = 0; i < callers; i++) {
            LookupAnswer answer = lookUp(view, 10 << 24 | 1 << 16 | i << 8);
            double sum = answer.entries().stream()
                    .mapToDouble(LookupAnswer.Entry::weight)
                    .sum();
            answer.entries().forEach(e -> load.merge(e.host().name(), e.weight() / sum, Double::sum));
        }
        double highest =
                load.values().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        assertThat(highest / callers).isLessThan(1.6 / 6);
    }

    @Test
    void unknownServiceAndNoHostAreFailures() {
        LookupView empty = view(List.of(), List.of(), List.of());
        assertThat(LookupPolicy.answer(empty, "other", CALLER, 0).getLeft().code())
                .isEqualTo(ErrorCode.SERVICE_UNKNOWN);
        assertThat(LookupPolicy.answer(empty, "quotedesk", CALLER, 0).getLeft().retryAfter())
                .isPresent();
    }

    @Test
    void regionWithoutMoveRuleIsNeverReturned() {
        List<EntryHost> onlyPiedmont = List.of(host("p1", "piedmont", "piedmont-a", EntryHost.State.SERVING));
        assertThat(LookupPolicy.answer(view(onlyPiedmont, List.of(), List.of()), "quotedesk", CALLER, 0)
                        .isLeft())
                .isTrue();
    }

    @Test
    void staleHostListShortensMaximumAge() {
        LookupView view = view(hosts(4), List.of(), List.of());
        long later = LookupPolicy.STALE_AFTER.toNanos() + 1;
        assertThat(LookupPolicy.answer(view, "quotedesk", CALLER, later).get().maxAgeSeconds())
                .isEqualTo(LookupPolicy.SHORT_MAX_AGE_SECONDS);
    }

    @Test
    void shiftMovesItsShareOfCallers() {
        LookupView view = view(hosts(4), List.of(), List.of(new RegionShift("gulf", "delta", 0.25, 0)));
        int moved = 0;
        for (int i = 0; i < 4_000; i++) {
            LookupAnswer answer = lookUp(view, 10 << 24 | 1 << 16 | i << 8);
            if (answer.entries().get(0).host().region().equals("delta")) {
                moved++;
            }
        }
        assertThat(moved).isBetween(850, 1150);
    }

    @Test
    void shareChangeIsLimitedPerMaximumAge() {
        long age = 5_000_000_000L;
        RegionShift shift = RegionShift.none("gulf", "delta", 0);
        double previous = 0;
        for (int tenth = 1; tenth <= 100; tenth++) {
            shift = shift.towards(1, age, tenth * age / 10);
            if (tenth % 10 == 0) {
                assertThat(shift.share() - previous).isLessThanOrEqualTo(RegionShift.MAX_CHANGE + 1e-9);
                previous = shift.share();
            }
        }
        assertThat(shift.share()).isEqualTo(1);
        assertThat(shift.towards(0, age, 100 * age).share()).isEqualTo(0.8);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void neverReturnsLeavingSuspectOrDrainedHost(long seed) {
        Random random = new Random(seed);
        for (int round = 0; round < 100; round++) {
            List<EntryHost> hosts = new ArrayList<>();
            List<Entity> drains = new ArrayList<>();
            for (EntryHost host : hosts(6)) {
                EntryHost.State state = STATES.get(random.nextInt(STATES.size()));
                hosts.add(host(host.name(), host.region(), host.failureDomain(), state));
                if (random.nextInt(8) == 0) {
                    drains.add(new Drain(Drain.Target.HOST, host.name()));
                }
            }
            if (random.nextInt(4) == 0) {
                drains.add(new Drain(Drain.Target.FAILURE_DOMAIN, "gulf-a"));
            }
            LookupView view = view(hosts, drains, List.of());
            LookupPolicy.answer(view, "quotedesk", random.nextInt(), 0)
                    .forEach(answer -> assertThat(answer.entries())
                            .as("seed %d", seed)
                            .allMatch(e -> e.host().serving()
                                    && !view.configuration()
                                            .drained(Drain.Target.HOST, e.host().name())
                                    && !view.configuration()
                                            .drained(
                                                    Drain.Target.FAILURE_DOMAIN,
                                                    e.host().failureDomain())));
        }
    }

    @Test
    void cachedBytesEqualTheAnswer() {
        LookupView view = view(hosts(4), List.of(), List.of());
        LookupCache cache = LookupCache.of(view);
        byte[] first = cache.answer("quotedesk", CALLER, 0).get();
        assertThat(first).isEqualTo(LookupCache.toJson(lookUp(view, CALLER)).get());
        assertThat(cache.answer("quotedesk", CALLER, 0).get()).isSameAs(first);
        assertThat(cache.answer("other", CALLER, 0).getLeft().code()).isEqualTo(ErrorCode.SERVICE_UNKNOWN);
    }

    private static LookupAnswer lookUp(LookupView view, int address) {
        return LookupPolicy.answer(view, "quotedesk", address, 0).get();
    }

    private static List<EntryHost> hosts(int perRegion) {
        List<EntryHost> hosts = new ArrayList<>();
        for (String region : List.of("gulf", "piedmont", "delta")) {
            for (int i = 0; i < perRegion; i++) {
                String domain = region + (i % 2 == 0 ? "-a" : "-b");
                hosts.add(host(region + i, region, domain, EntryHost.State.SERVING));
            }
        }
        return hosts;
    }

    private static EntryHost host(String name, String region, String domain, EntryHost.State state) {
        return new EntryHost(name, region, domain, "10.0.0.1", 8080, state, 1);
    }

    private static LookupView view(List<EntryHost> hosts, List<Entity> more, List<RegionShift> shifts) {
        List<Entity> items = new ArrayList<>(more);
        for (String region : List.of("gulf", "piedmont", "delta")) {
            items.add(new Region(region, 8));
            items.add(new FailureDomain(region + "-a", region));
            items.add(new FailureDomain(region + "-b", region));
        }
        items.add(new Site("town", "gulf-a"));
        items.add(new Link("gulf", "delta", 12, 4_000_000_000L));
        items.add(new Service("quotedesk", 1, 3, 10, List.of(), List.of()));
        items.add(new MoveRule("quotedesk", "gulf", "delta", 1));
        BlockTable blocks = BlockTable.of(BLOCKS).get();
        return LookupView.of(
                new LookupView.Version(1, 0), Configuration.of(1, "n", items), hosts, blocks, "gulf-a", shifts);
    }
}
