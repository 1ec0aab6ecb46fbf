package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.arbutusfield.affinity.FleetLoads;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.wire.gen.UpstreamLoad;

/**
 * Plays requests against upstreams with slots and queues, in virtual time. Upstreams remove a waiting request when its
 * caller ends it, and run a started one to its end. Times are in seconds.
 */
final class LoadSimulation {
    private static final String SERVICE = "s";
    private static final double WARM = 0.3;
    private static final double ONE_WAY = 0.01;

    /** Who decides where a request runs. */
    enum Policy {
        /** The home always, as before. */
        HOME,
        /** The code that ships. */
        LOAD,
        /** One queue that knows all, orders by rank and drops what can't end in time. */
        ALL_KNOWING
    }

    /** A kind of request; its rank is the rank of its route. Work is that on a cold upstream. */
    record Kind(int rank, double work, double timeout, double target, double perSecond) {}

    /** What happened to the requests of one kind. */
    static final class Tally {
        int asked;
        int served;
        int late;
        int refused;
        int cut;

        double servedShare() {
            return asked == 0 ? 0 : (double) served / asked;
        }

        double answeredShare() {
            return asked == 0 ? 0 : (double) (served + late) / asked;
        }

        @Override
        public String toString() {
            return String.format(
                    "%.2f in target, %.2f late, %.2f refused, %.2f cut",
                    servedShare(), (double) late / asked, (double) refused / asked, (double) cut / asked);
        }
    }

    /** How much slower than usual an upstream is at a time. */
    interface Slowness {
        double at(int upstream, double seconds);
    }

    /** How many times its usual rate a kind is asked for at a time. */
    interface Surge {
        double at(Kind kind, double seconds);
    }

    final TreeMap<Integer, Tally> tallies = new TreeMap<>();
    final List<UpstreamModel> upstreams = new ArrayList<>();
    Slowness slowness = (upstream, seconds) -> 1;
    Surge surge = (kind, seconds) -> 1;
    boolean statesSpeed = true;
    boolean statesLoad = true;
    boolean repeatAtOnce;
    double leaving;
    double reportDelay = 0.05;
    /** Requests that ask before this time are not tallied. */
    double tallyFrom;

    private final Policy policy;
    private final List<Kind> kinds;
    private final Random random = new Random(7);
    private final List<LiveUpstream> live = new ArrayList<>();
    private final List<HostModel> hosts = new ArrayList<>();
    private final FleetLoads planner = FleetLoads.create();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private double now;
    private long count;
    private double busySeconds;

    private record Event(double at, long number, Runnable action) {}

    LoadSimulation(Policy policy, int hostCount, int upstreamCount, int slots, List<Kind> kinds) {
        this.policy = policy;
        this.kinds = kinds;
        for (int i = 0; i < upstreamCount; i++) {
            Upstream upstream = new Upstream("u" + i, SERVICE, "d", "127.0.0.1", 1, slots, 10);
            live.add(new LiveUpstream(upstream, "r", 0, 0, 1, WeightedRendezvous.hash("u" + i)));
            upstreams.add(new UpstreamModel(i, slots));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new HostModel());
        }
    }

    LoadSimulation run(double seconds) {
        for (Kind kind : kinds) {
            tallies.put(kind.rank(), new Tally());
            arrive(kind, seconds);
        }
        for (HostModel host : hosts) {
            after(random.nextDouble(), host::report);
        }
        while (!events.isEmpty() && events.peek().at() < seconds + 3) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        busySeconds /= seconds * upstreams.stream().mapToInt(u -> u.slots).sum();
        return this;
    }

    /** Part of the slots' time that was busy. */
    double busy() {
        return busySeconds;
    }

    Tally tally(int rank) {
        return tallies.get(rank);
    }

    double answered() {
        double asked = tallies.values().stream().mapToInt(t -> t.asked).sum();
        return tallies.values().stream().mapToInt(t -> t.served + t.late).sum() / asked;
    }

    double goodShare() {
        double asked = tallies.values().stream().mapToInt(t -> t.asked).sum();
        return tallies.values().stream().mapToInt(t -> t.served).sum() / asked;
    }

    private void after(double delay, Runnable action) {
        events.add(new Event(now + delay, count++, action));
    }

    private long nanos() {
        return (long) (now * 1e9);
    }

    private void arrive(Kind kind, double end) {
        double rate = kind.perSecond() * surge.at(kind, now);
        after(-Math.log(1 - random.nextDouble()) / rate, () -> {
            if (now < end) {
                new Request(kind).start();
                arrive(kind, end);
            }
        });
    }

    private static Route route(Kind kind) {
        return new Route(
                "k" + kind.rank(),
                "h",
                "/",
                true,
                false,
                Duration.ofMillis((long) (kind.timeout() * 1000)),
                Duration.ofMillis((long) (kind.target() * 1000)),
                kind.rank(),
                2,
                Set.of(),
                true,
                List.of(new WeightedService(SERVICE, 1)));
    }

    /** One host with its own knowledge. */
    private final class HostModel {
        private final UpstreamLoadKnowledge knowledge = UpstreamLoadKnowledge.create();
        private final LoadPlacement placement =
                LoadPlacement.create(knowledge, () -> false, (placementRequest, choice) -> {});

        private void report() {
            List<UpstreamLoad> loads = knowledge.report(SERVICE, nanos());
            after(reportDelay * random.nextDouble(), () -> {
                planner.merge(SERVICE, loads, nanos());
                List<UpstreamLoad> told = planner.withoutRoom(SERVICE, nanos());
                after(reportDelay * random.nextDouble(), () -> knowledge.heard(told, nanos()));
            });
            after(1, this::report);
        }
    }

    /** One request of a caller. */
    private final class Request {
        private final Kind kind;
        private final HostModel host = hosts.get(random.nextInt(hosts.size()));
        private final int home = random.nextInt(upstreams.size());
        private final long object = random.nextInt(20) * 1000L + home;
        private final double noise = Math.exp(0.25 * random.nextGaussian());
        private final boolean counted = now >= tallyFrom;
        private double askedAt;
        private int repeats;
        private UpstreamModel at;
        private LoadPlacement.Sent sent;
        private boolean over;

        private Request(Kind kind) {
            this.kind = kind;
            if (counted) {
                tallies.get(kind.rank()).asked++;
            }
        }

        private void start() {
            askedAt = now;
            Either<Failure, LiveUpstream> placed = policy == Policy.LOAD ? review() : Either.right(live.get(home));
            if (placed.isLeft()) {
                refused();
                return;
            }
            at = upstreams.get(live.indexOf(placed.get()));
            sent = host.placement.sent(question(), placed.get(), at.index == home, nanos());
            after(ONE_WAY, () -> at.receive(this));
            after(kind.timeout(), this::cut);
            if (leaving > 0 && random.nextDouble() < leaving) {
                after(0.2, this::left);
            }
        }

        private Either<Failure, LiveUpstream> review() {
            return host.placement.review(
                    question(),
                    live.get(home),
                    true,
                    () -> {
                        List<LiveUpstream> others = new ArrayList<>(live);
                        others.remove(home);
                        return ObjectAffinity.firstOf(object, others, 3);
                    },
                    nanos());
        }

        private PlacementRequest question() {
            RequestClass requestClass = new RequestClass("r", List.of(), "/", true, true, 1000);
            return new PlacementRequest(
                    "id" + count++,
                    new Service(SERVICE, 0, 0, 0, List.of(requestClass), List.of()),
                    requestClass,
                    "GET",
                    "/",
                    Duration.ofNanos((long) ((askedAt + kind.timeout() - now) * 1e9)),
                    new InetSocketAddress(0),
                    0,
                    Set.of(),
                    Optional.of(route(kind)),
                    Optional.of("o" + object));
        }

        private double expectedWork(UpstreamModel upstream) {
            return kind.work() * (upstream.index == home ? WARM : 1) * slowness.at(upstream.index, now);
        }

        /** Returns true if the request can't end in time at home after another one of its kind. */
        private boolean mustMove() {
            return now + 2 * expectedWork(upstreams.get(home)) > askedAt + kind.timeout();
        }

        private boolean canEnd(UpstreamModel upstream) {
            return now + expectedWork(upstream) + ONE_WAY <= askedAt + kind.timeout();
        }

        private void refused() {
            if (repeatAtOnce && repeats++ < 20) {
                over = false;
                after(0.05, this::start);
                return;
            }
            over = true;
            tally(t -> t.refused++);
        }

        private void completed(UpstreamNotice.Load load) {
            if (over) {
                return;
            }
            over = true;
            if (statesLoad) {
                sent.stated(load, nanos());
            }
            sent.ended(AttemptOutcome.COMPLETED, (long) ((now - askedAt) * 1e9));
            tally(t -> {
                if (now - askedAt <= kind.target()) {
                    t.served++;
                } else {
                    t.late++;
                }
            });
        }

        private void shed(UpstreamNotice.Load load) {
            if (!over) {
                if (statesLoad) {
                    sent.stated(load, nanos());
                }
                sent.ended(AttemptOutcome.SHED, 0);
                refused();
            }
        }

        private void cut() {
            if (!over && now - askedAt >= kind.timeout() - 1e-6) {
                end(AttemptOutcome.FAILED);
                tally(t -> t.cut++);
            }
        }

        private void left() {
            if (!over) {
                end(AttemptOutcome.CANCELLED);
                if (counted) {
                    tallies.get(kind.rank()).asked--;
                }
            }
        }

        private void end(AttemptOutcome outcome) {
            over = true;
            at.queue.remove(this);
            sent.ended(outcome, (long) ((now - askedAt) * 1e9));
        }

        private void tally(java.util.function.Consumer<Tally> change) {
            if (counted) {
                change.accept(tallies.get(kind.rank()));
            }
        }
    }

    /** One upstream. */
    final class UpstreamModel {
        int received;
        int longestQueue;
        private final int index;
        private final int slots;
        private final List<Request> queue = new ArrayList<>();
        private int running;

        private UpstreamModel(int index, int slots) {
            this.index = index;
            this.slots = slots;
        }

        private void receive(Request request) {
            received++;
            if (request.over) {
                return;
            }
            if (policy != Policy.ALL_KNOWING && running >= slots && queue.size() >= 3 * slots) {
                UpstreamNotice.Load load = load();
                after(ONE_WAY, () -> request.shed(load));
                return;
            }
            queue.add(request);
            longestQueue = Math.max(longestQueue, queue.size());
            if (policy == Policy.ALL_KNOWING) {
                queue.sort(Comparator.comparingInt(r -> r.kind.rank()));
                upstreams.forEach(UpstreamModel::startWaiting);
            } else {
                startWaiting();
            }
        }

        private void startWaiting() {
            while (running < slots) {
                Optional<Request> next =
                        policy == Policy.ALL_KNOWING ? best() : queue.stream().findFirst();
                if (next.isEmpty()) {
                    return;
                }
                next.get().at.queue.remove(next.get());
                run(next.get());
            }
        }

        /** The most urgent of the own requests that can still end here, else of those that must move. */
        private Optional<Request> best() {
            return queue.stream()
                    .filter(r -> r.canEnd(this))
                    .findFirst()
                    .or(() -> upstreams.stream()
                            .flatMap(u -> u.queue.stream())
                            .filter(r -> r.canEnd(this) && r.mustMove())
                            .min(Comparator.comparingInt(r -> r.kind.rank())));
        }

        private void run(Request request) {
            running++;
            double time = request.expectedWork(this) * request.noise;
            busySeconds += time;
            after(time, () -> {
                running--;
                startWaiting();
                UpstreamNotice.Load load = load();
                after(ONE_WAY, () -> request.completed(load));
            });
        }

        private UpstreamNotice.Load load() {
            OptionalDouble speed = statesSpeed ? OptionalDouble.of(slowness.at(index, now)) : OptionalDouble.empty();
            return new UpstreamNotice.Load(running, queue.size(), slots, speed);
        }
    }
}
