package org.arbutusfield.share;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.TeamLimiter;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LeaderView;
import org.arbutusfield.state.RegisteredHost;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.team.Team;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/** Hosts with clients and lenders in virtual time, whose messages take time, get lost, and which fail. */
final class ShareFleet {
    static final String TEAM = "team";
    private static final Duration LEAST_DELAY = Duration.ofMillis(2);

    final VirtualTimer timer = VirtualTimer.create();
    final List<Host> hosts = new ArrayList<>();
    /** Times at which requests were sent, in nanoseconds. */
    final List<Long> sent = new ArrayList<>();

    final Random random;
    private final ShareTolerance tolerance;
    int leader;
    private long termStartNanos;
    private boolean leads = true;
    double loss;
    Duration mostDelay = Duration.ofMillis(10);
    int messages;
    TeamLimit limit;
    long version = 1;

    ShareFleet(long seed, int count, TeamLimit limit, ShareTolerance tolerance) {
        this.random = new Random(seed);
        this.limit = limit;
        this.tolerance = tolerance;
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(i));
        }
    }

    static TeamLimits limits(long version, TeamLimit limit) {
        return new TeamLimits() {
            @Override
            public boolean any() {
                return true;
            }

            @Override
            public long version() {
                return version;
            }

            @Override
            public Optional<TeamLimit> limit(String team) {
                return Optional.ofNullable(limit);
            }
        };
    }

    static Team team(TeamLimit limit) {
        return new Team(TEAM, OptionalInt.empty(), limit.ratePerSecond(), limit.burst(), Set.of());
    }

    /** Ends the term; another host, or the same one, leads after a time, and hosts learn it one by one. */
    void changeLeader(int next, Duration without) {
        leads = false;
        timer.after(without, () -> {
            leader = next;
            leads = true;
            termStartNanos = timer.nowNanos();
            hosts.forEach(host -> host.later(millis(500), () -> host.state = state(next)));
        });
    }

    void changeLimit(TeamLimit next) {
        version++;
        long newVersion = version;
        limit = next;
        hosts.forEach(host -> host.later(millis(900), () -> host.learn(newVersion, next)));
    }

    /** Returns true if all hosts that run know the limit. */
    boolean settled() {
        return hosts.stream().allMatch(host -> host.limits.version() == version);
    }

    Duration millis(int most) {
        return Duration.ofMillis(random.nextInt(most) + 1);
    }

    /** A request arrives at a host. */
    void request(int index) {
        Host host = hosts.get(index);
        host.run(() -> host.client
                .acquire(team(limit), Duration.ofSeconds(1))
                .thenAccept(done -> done.peek(host::sent).peekLeft(host.refusals::add)));
    }

    private SteeringState state(int leading) {
        HostEntry entry = new HostEntry("h" + leading, "r", "d", "127.0.0.1:1", "127.0.0.1:" + (1000 + leading), 1);
        return new SteeringState(
                Optional.empty(),
                Map.of(),
                Set.of(),
                List.of(entry),
                new LeaderView(Optional.of(new RegisteredHost(entry, 1, 1)), 0),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    /** A host; all that it does passes through {@link #run}, which a pause delays and a restart drops. */
    final class Host {
        final int index;
        final List<Failure> refusals = new ArrayList<>();
        private SteeringState state = state(0);
        private TeamLimits limits = limits(version, limit);
        private long incarnation;
        boolean cut;
        private long pausedUntilNanos;
        private ControlHandlers handlers;
        ShareServer server;
        ShareClient client;
        double giveBackFraction;

        Host(int index) {
            this.index = index;
            restart();
        }

        /** A process that led has lost its lease with its end. */
        void restart() {
            incarnation++;
            if (leader == index && incarnation > 1) {
                changeLeader(random.nextInt(hosts.size()), millis(4500));
            }
            TimerService own = new HostTimer(this, incarnation);
            server = ShareServer.create(this::term, () -> limits, tolerance, List::of, own, random);
            handlers = ControlHandlers.create();
            server.register(handlers);
            client = ShareClient.create(
                    "h" + index, incarnation, () -> state, () -> limits, this::call, server, ShareObserver.NONE, own);
        }

        void pause(Duration time) {
            pausedUntilNanos = Math.max(pausedUntilNanos, timer.nowNanos() + time.toNanos());
        }

        private OptionalLong term() {
            return leads && leader == index ? OptionalLong.of(termStartNanos) : OptionalLong.empty();
        }

        private void learn(long newVersion, TeamLimit next) {
            if (newVersion > limits.version()) {
                limits = limits(newVersion, next);
            }
        }

        private void sent(TeamLimiter.Use use) {
            if (random.nextDouble() < giveBackFraction) {
                later(millis(400), use::giveBack);
                return;
            }
            sent.add(timer.nowNanos());
        }

        private void later(Duration delay, Runnable task) {
            long current = incarnation;
            timer.after(delay, () -> runIf(current, task));
        }

        private void run(Runnable task) {
            runIf(incarnation, task);
        }

        private void runIf(long required, Runnable task) {
            long pause = pausedUntilNanos - timer.nowNanos();
            if (pause > 0) {
                timer.after(Duration.ofNanos(pause), () -> runIf(required, task));
            } else if (required == incarnation) {
                task.run();
            }
        }

        private CompletableFuture<Either<Failure, ControlMessage>> call(
                PeerAddress peer, ControlMessage message, Duration timeout) {
            messages++;
            Host other = hosts.get(peer.port() - 1000);
            CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
            later(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
            transmit(
                    this,
                    other,
                    () -> other.handlers
                            .handle(message)
                            .thenAccept(answer -> transmit(other, this, () -> result.complete(answer))));
            return result;
        }

        private void transmit(Host from, Host to, Runnable arrival) {
            if (from.cut || to.cut || random.nextDouble() < loss) {
                return;
            }
            boolean late = random.nextDouble() < loss / 2;
            Duration delay = late ? millis(9_000) : LEAST_DELAY.plus(millis((int) mostDelay.toMillis()));
            timer.after(delay, () -> to.run(arrival));
        }
    }

    /** Runs tasks of one process of a host. */
    private final class HostTimer implements TimerService {
        private final Host host;
        private final long incarnation;

        private HostTimer(Host host, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
        }

        @Override
        public long nowNanos() {
            return timer.nowNanos();
        }

        @Override
        public ScheduledTask after(Duration delay, Runnable task) {
            return timer.after(delay, () -> host.runIf(incarnation, task));
        }

        @Override
        public ScheduledTask every(Duration period, Runnable task) {
            throw new UnsupportedOperationException();
        }
    }
}
