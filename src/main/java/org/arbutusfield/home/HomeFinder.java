package org.arbutusfield.home;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.HostEntry;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.lookup.Rendezvous;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.ObjectHome;

/**
 * Knows the homes of the objects that this host serves: asks the planner of the service when an object is new, and once
 * in a while for all objects in use, with what was seen of them.
 *
 * <p>The planner of a service is the live host that comes first by rendezvous, so that all hosts that know the same
 * hosts ask the same one. While it doesn't answer, this host goes without for a moment, and its caller falls back on
 * hashing. Runs on one event loop.
 */
public final class HomeFinder {
    private static final Logger LOG = LogManager.getLogger(HomeFinder.class);
    private static final Duration REFRESH = Duration.ofSeconds(1);
    private static final Duration QUESTION_TIMEOUT = Duration.ofMillis(150);
    private static final Duration PLANNER_PAUSE = Duration.ofSeconds(1);
    private static final Duration FORGET = Duration.ofSeconds(10);

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final HomePlanner ownPlanner;
    private final TimerService timer;
    private final Map<ObjectGroup, Map<Long, Known>> groups = new HashMap<>();
    private final Map<String, String> planners = new HashMap<>();
    private final Map<String, Long> pausedUntilNanos = new HashMap<>();

    private HomeFinder(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner ownPlanner,
            TimerService timer) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.ownPlanner = ownPlanner;
        this.timer = timer;
    }

    /**
     * Starts a finder.
     *
     * @param self name of this host
     * @param state what is known, as it changes
     * @param transport calls other hosts
     * @param ownPlanner answers where this host is the planner itself
     * @param timer time
     */
    public static HomeFinder start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner ownPlanner,
            TimerService timer) {
        HomeFinder finder = new HomeFinder(self, state, transport, ownPlanner, timer);
        timer.every(REFRESH, finder::refresh);
        return finder;
    }

    /**
     * The home of an object.
     *
     * @param group the group it belongs to
     * @param key the object's key
     * @return name of its upstream, at once if it is known; empty when the planner can't tell
     */
    public CompletableFuture<Optional<String>> find(ObjectGroup group, long key) {
        Known known = groups.computeIfAbsent(group, g -> new HashMap<>()).computeIfAbsent(key, k -> new Known());
        known.usedNanos = timer.nowNanos();
        SteeringState now = state.get();
        if (now.offers(group.service(), known.upstream)) {
            return CompletableFuture.completedFuture(Optional.of(known.upstream));
        }
        known.upstream = "";
        String stored = now.homes().getOrDefault(group.service(), Map.of()).getOrDefault(key, "");
        if (now.offers(group.service(), stored)) {
            return CompletableFuture.completedFuture(Optional.of(stored));
        }
        if (paused(group.service())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (known.asking != null) {
            return known.asking;
        }
        CompletableFuture<Optional<String>> asked = ask(group, List.of(use(key, known)))
                .thenApply(told -> Optional.of(known.upstream).filter(name -> !name.isEmpty()));
        if (!asked.isDone()) {
            known.asking = asked;
            asked.thenAccept(home -> known.asking = null);
        }
        return asked;
    }

    /** Notes where an object is served for want of a planner, so that the planner leaves it there. */
    public void servedAt(ObjectGroup group, long key, String upstream) {
        Known known = groups.getOrDefault(group, Map.of()).get(key);
        if (known != null && known.upstream.isEmpty()) {
            known.upstream = upstream;
        }
    }

    /**
     * Notes the end of a request for an object at an upstream that answered.
     *
     * @param group the group of the object
     * @param key the object's key
     * @param upstream the upstream
     * @param busyNanos time from the sending to the end of the answer
     */
    public void ended(ObjectGroup group, long key, String upstream, long busyNanos) {
        Known known = groups.getOrDefault(group, Map.of()).get(key);
        if (known != null && known.upstream.equals(upstream)) {
            known.requests++;
            known.busyMicros += busyNanos / 1000;
        }
    }

    /** Notes that an object's home did not answer or run a request; the planner learns of it at once. */
    public void failed(ObjectGroup group, long key, String upstream) {
        Known known = groups.getOrDefault(group, Map.of()).get(key);
        if (known == null || !known.upstream.equals(upstream)) {
            return;
        }
        known.failures++;
        if (!paused(group.service())) {
            ask(group, List.of(use(key, known)));
        }
    }

    private void refresh() {
        long now = timer.nowNanos();
        state.get().upstreams().keySet().forEach(this::meetPlanner);
        for (Map.Entry<ObjectGroup, Map<Long, Known>> group : groups.entrySet()) {
            group.getValue().values().removeIf(known -> now - known.usedNanos > FORGET.toNanos());
            List<ObjectHome> uses = new ArrayList<>();
            group.getValue().forEach((key, known) -> {
                if (known.requests + known.failures > 0) {
                    uses.add(use(key, known));
                }
            });
            if (!uses.isEmpty() && !paused(group.getKey().service())) {
                ask(group.getKey(), uses);
            }
        }
    }

    /** Opens the connection to a service's planner before the first request needs it. */
    private void meetPlanner(String service) {
        String name = planner(service).map(HostEntry::name).orElse(self);
        if (!name.equals(planners.put(service, name)) && !name.equals(self)) {
            LOG.info("event=planner_chosen service={} planner={}", service, name);
            ask(new ObjectGroup(service, "", ""), List.of());
        }
    }

    /** Takes what is to be told of an object, which starts anew. */
    private static ObjectHome use(long key, Known known) {
        ObjectHome use = new ObjectHome(key, known.requests, known.busyMicros, known.upstream, known.failures);
        known.requests = 0;
        known.busyMicros = 0;
        known.failures = 0;
        return use;
    }

    private CompletableFuture<Void> ask(ObjectGroup group, List<ObjectHome> objects) {
        HomeQuestion question = new HomeQuestion(group.service(), group.route(), group.region(), objects);
        Optional<HostEntry> planner = planner(group.service());
        if (planner.isEmpty() || planner.get().name().equals(self)) {
            learn(group, ownPlanner.answer(question));
            return CompletableFuture.completedFuture(null);
        }
        PeerAddress address = address(planner.get());
        return transport
                .call(address, ControlMessage.homeQuestion(question), QUESTION_TIMEOUT)
                .thenAccept(answer -> answered(group, planner.get(), answer));
    }

    private void answered(ObjectGroup group, HostEntry planner, Either<Failure, ControlMessage> answer) {
        if (answer.isRight() && answer.get().isSetHomeAnswer()) {
            learn(group, answer.get().getHomeAnswer());
            return;
        }
        if (!paused(group.service())) {
            LOG.warn(
                    "event=planner_lost service={} planner={} code={}",
                    group.service(),
                    planner.name(),
                    answer.fold(failure -> failure.code().name(), other -> "MESSAGE_UNKNOWN"));
        }
        pausedUntilNanos.put(group.service(), timer.nowNanos() + PLANNER_PAUSE.toNanos());
    }

    private void learn(ObjectGroup group, HomeAnswer answer) {
        Map<Long, Known> objects = groups.getOrDefault(group, Map.of());
        for (ObjectHome home : answer.getObjects()) {
            Known known = objects.get(home.getKey());
            if (known != null) {
                known.upstream = home.getUpstream();
            }
        }
    }

    private Optional<HostEntry> planner(String service) {
        long key = Rendezvous.hash(service);
        return state.get().hosts().stream()
                .max(Comparator.comparingDouble(host -> Rendezvous.score(Rendezvous.hash(host.name()), key, 1)));
    }

    private static PeerAddress address(HostEntry host) {
        InetSocketAddress address = Addresses.parse(host.controlAddress()).orElseThrow();
        return new PeerAddress(address.getHostString(), address.getPort());
    }

    private boolean paused(String service) {
        return pausedUntilNanos.containsKey(service) && pausedUntilNanos.get(service) - timer.nowNanos() > 0;
    }

    /** One object as this host knows it. */
    private static final class Known {
        private String upstream = "";
        private int requests;
        private int failures;
        private long busyMicros;
        private long usedNanos;
        private CompletableFuture<Optional<String>> asking;
    }
}
