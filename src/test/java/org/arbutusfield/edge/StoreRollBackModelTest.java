package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.platform.PlatformItemDecoder;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;

/**
 * Two hosts follow a store that returns from older copies, through all sequences of a few steps, in virtual time.
 * Drives the watcher, the cache and the registration as a host does.
 *
 * <p>Checked: a host that has seen a start of the upstream drain or leave never uses that start again; the version of
 * the routes never decreases at a host; once the writers have written again and some seconds have passed, each host
 * uses the upstream if and only if it is ready, has the operator's version, and both hosts stay registered.
 */
class StoreRollBackModelTest {
    private static final int SEQUENCE_LENGTH = 5;
    private static final Duration CALM = Duration.ofMillis(1500);
    private static final Duration START_DISTANCE = Duration.ofMillis(500);
    private static final Duration SETTLING = Duration.ofSeconds(8);
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(2);
    private static final String UPSTREAM_KEY = "servers/u";
    private static final String ENTRY = "{\"address\":\"127.0.0.1:9\",\"born\":%d,\"details\":{\"service\":\"desk\","
            + "\"version\":\"v\",\"zone\":\"d\",\"slots\":3},\"status\":{\"state\":\"%s\",\"sequence\":%d,"
            + "\"cold_remaining\":\"0ms\"}}";
    private static final String ROUTES = "{\"version\":\"r%d\",\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
            + "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[],\"upstreams\":[]}";

    /** What happens between two checks. */
    private enum Step {
        /** The upstream writes its state again, as after a change of its details. */
        REPORT,
        /** The upstream starts to drain. */
        DRAIN,
        /** The upstream ends and its entry is removed. */
        LEAVE,
        /** The upstream starts again under the same id. */
        RESTART,
        /** The operator writes a new version of the routes. */
        CONFIGURE,
        /** The store's content is copied. */
        COPY,
        /** The store returns from the copy, and its writers write again. */
        ROLL_BACK,
        /** Time passes. */
        WAIT
    }

    /** One host and what it has seen. */
    private static final class Host {
        private final String name;
        private final Set<Long> usedStarts = new HashSet<>();
        /** Starts that this host used and then saw drain or leave. */
        private final Set<Long> endedStarts = new HashSet<>();

        private HostRegistrar registrar;
        private SteeringState state = SteeringState.empty();
        private long maxVersion;

        private Host(String name) {
            this.name = name;
        }

        private void start(KeyValueContent content, VirtualTimer timer) {
            ContentStore store = ContentStore.of(content, timer);
            StoreHealth health = StoreHealth.create();
            HostEntry entry = new HostEntry(name, "g", "d", "127.0.0.1:1", "127.0.0.1:2", 1);
            registrar = HostRegistrar.start(store, timer, entry, health);
            StateCache cache = StateCache.create(PlatformItemDecoder.create(), Map.of("d", "g"));
            StoreWatcher.start(store, timer, cache, MAX_PROPAGATION_DELAY, health, this::install);
        }

        private void install(SteeringState next) {
            state = next;
            registrar.stateChanged(next);
        }
    }

    /** One sequence of steps. */
    private static final class Run {
        private final VirtualTimer timer = VirtualTimer.create();
        private final KeyValueContent content = KeyValueContent.create(timer);
        private final List<Host> hosts = List.of(new Host("a"), new Host("b"));
        private KeyValueContent.Copy copy;
        private long start = 1;
        private String upstreamState = "ready";
        private int sequence;
        private int version = 1;

        private void run(List<Step> steps) {
            writeAgain();
            copy = content.copy();
            for (Host host : hosts) {
                host.start(content, timer);
                // The hosts renew their leases at different times, so that one may get the id of the other's lease.
                timer.advance(START_DISTANCE);
            }
            timer.advance(CALM);
            check(steps);
            for (Step step : steps) {
                apply(step);
                check(steps);
            }
            writeAgain();
            timer.advance(SETTLING);
            check(steps);
            checkSettled(steps);
        }

        private void apply(Step step) {
            switch (step) {
                case REPORT -> report(upstreamState);
                case DRAIN -> report(upstreamState.equals("ready") ? "draining" : upstreamState);
                case LEAVE -> report("");
                case RESTART -> {
                    start++;
                    sequence = 0;
                    report("ready");
                }
                case CONFIGURE -> {
                    version++;
                    writeRoutes();
                }
                case COPY -> copy = content.copy();
                case ROLL_BACK -> {
                    content.rollBack(copy);
                    timer.advance(CALM.dividedBy(2));
                    writeAgain();
                }
                case WAIT -> timer.advance(CALM);
                default -> throw new IllegalStateException(step.name());
            }
        }

        private void report(String next) {
            upstreamState = next;
            sequence++;
            if (next.isEmpty()) {
                content.remove(UPSTREAM_KEY);
            } else {
                content.put(UPSTREAM_KEY, bytes(ENTRY.formatted(start, next, sequence)), 0);
            }
        }

        private void writeAgain() {
            report(upstreamState);
            writeRoutes();
        }

        private void writeRoutes() {
            content.put("op/config", bytes(ROUTES.formatted(version)), 0);
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private void check(List<Step> steps) {
            for (Host host : hosts) {
                assertThat(host.state.routesVersion())
                        .as("version at %s after %s", host.name, steps)
                        .isGreaterThanOrEqualTo(host.maxVersion);
                host.maxVersion = host.state.routesVersion();
                Set<Long> used = new HashSet<>();
                host.state.upstreams("desk").forEach(upstream -> used.add(upstream.startMillis()));
                assertThat(host.endedStarts.stream().filter(used::contains))
                        .as("ended starts that %s uses after %s", host.name, steps)
                        .isEmpty();
                if (host.usedStarts.contains(start) && used.isEmpty() && !upstreamState.equals("ready")) {
                    host.endedStarts.add(start);
                }
                host.usedStarts.addAll(used);
            }
        }

        private void checkSettled(List<Step> steps) {
            for (Host host : hosts) {
                assertThat(host.state.hasUpstream("desk", "u"))
                        .as("%s uses the upstream after %s", host.name, steps)
                        .isEqualTo(upstreamState.equals("ready"));
                assertThat(host.state.routesVersion()).isEqualTo(version);
                assertThat(host.state.hosts())
                        .as("hosts known to %s after %s", host.name, steps)
                        .hasSize(hosts.size());
            }
            timer.advance(SETTLING);
            assertThat(content.list("hosts/", "", 10))
                    .as("registered after %s", steps)
                    .hasSize(hosts.size());
        }
    }

    @Test
    void allShortSequencesOfStepsKeepTheGuarantees() {
        int sequences = explore(new ArrayList<>());
        assertThat(sequences).isEqualTo((int) Math.pow(Step.values().length, SEQUENCE_LENGTH));
    }

    private int explore(List<Step> steps) {
        if (steps.size() == SEQUENCE_LENGTH) {
            new Run().run(steps);
            return 1;
        }
        int sequences = 0;
        for (Step step : Step.values()) {
            steps.add(step);
            sequences += explore(steps);
            steps.remove(steps.size() - 1);
        }
        return sequences;
    }
}
