package org.arbutusfield.quarantine;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.reach.HostBroadcast;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.SuspectCodec;
import org.arbutusfield.state.SuspectRequest;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Brings what this host has found about suspect requests to all hosts: directly, which is quick and needs no store, and
 * through the store, which also reaches hosts that start later or were away.
 *
 * <p>Each of the hosts that count for a request finds the same. The first of them publishes it at once, the others only
 * if nothing has come from those before them. Runs on the timer's thread.
 */
final class SuspectPublisher {
    private static final Logger LOG = LogManager.getLogger(SuspectPublisher.class);
    private static final Duration TURN = Duration.ofMillis(600);
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration SPREAD_DIRECTLY = Duration.ofMillis(50);
    private static final Duration SPREAD_THROUGH_STORE = Duration.ofSeconds(2);
    private static final long NO_LEASE = 0;

    private final String self;
    private final Supplier<SteeringState> state;
    private final HostBroadcast broadcast;
    private final WatchableStore store;
    private final KnownSuspects known;
    private final TimerService timer;
    private final Consumer<String> answered;

    private SuspectPublisher(
            String self,
            Supplier<SteeringState> state,
            HostBroadcast broadcast,
            WatchableStore store,
            KnownSuspects known,
            TimerService timer,
            Consumer<String> answered) {
        this.self = self;
        this.state = state;
        this.broadcast = broadcast;
        this.store = store;
        this.known = known;
        this.timer = timer;
        this.answered = answered;
    }

    /**
     * Creates the publisher of one host.
     *
     * @param self name of the host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param store keeps the suspect requests
     * @param known what this host knows
     * @param timer clock and scheduler
     * @param answered receives the fingerprint of a request that another host has answered since its first upstream
     *     ended
     */
    static SuspectPublisher of(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            WatchableStore store,
            KnownSuspects known,
            TimerService timer,
            Consumer<String> answered) {
        HostBroadcast broadcast = HostBroadcast.of(self, state, transport);
        return new SuspectPublisher(self, state, broadcast, store, known, timer, answered);
    }

    /**
     * Publishes a request that this host knows, when it is its turn and nobody else has.
     *
     * @param firstEndNanos monotonic time at which the first of its upstreams ended
     */
    void publish(SuspectRequest suspect, long firstEndNanos) {
        int turn = turn(suspect.fingerprint());
        if (turn == 0) {
            publishNow(suspect, firstEndNanos);
            return;
        }
        timer.after(TURN.multipliedBy(turn), () -> {
            if (!isStored(suspect) && isCurrent(suspect)) {
                publishNow(suspect, firstEndNanos);
            }
        });
    }

    /** Returns the time that it takes until all hosts know what is published. */
    Duration spreadTime() {
        return broadcast.reachesAll() ? SPREAD_DIRECTLY : SPREAD_THROUGH_STORE;
    }

    private void publishNow(SuspectRequest suspect, long firstEndNanos) {
        tellHosts(suspect, Duration.ofNanos(timer.nowNanos() - firstEndNanos));
        write(suspect);
    }

    /** Writes the requests again for whose publication this host is the first, after the store has lost them. */
    void publishAgain(List<SuspectRequest> suspects) {
        suspects.stream().filter(suspect -> turn(suspect.fingerprint()) == 0).forEach(this::write);
    }

    /** Lifts the suspicion on all hosts, when it is this host's turn and nobody else has. */
    void withdraw(String fingerprint) {
        int turn = turn(fingerprint);
        if (turn == 0) {
            withdrawNow(fingerprint);
            return;
        }
        timer.after(TURN.multipliedBy(turn), () -> {
            boolean stillStored = state.get().suspects().containsKey(fingerprint);
            if (stillStored && known.find(fingerprint).isEmpty()) {
                withdrawNow(fingerprint);
            }
        });
    }

    private void withdrawNow(String fingerprint) {
        tellHosts(new SuspectRequest(fingerprint, List.of()), Duration.ZERO);
        store.remove(SuspectCodec.key(fingerprint))
                .whenComplete(Handled.by(done -> done.peekLeft(failure ->
                        LOG.warn("event=suspect_not_removed request={} code={}", fingerprint, failure.code()))));
    }

    private int turn(String fingerprint) {
        List<HostEntry> hosts = LedgerHosts.of(fingerprint, state.get().hosts());
        for (int i = 0; i < hosts.size(); i++) {
            if (hosts.get(i).name().equals(self)) {
                return i;
            }
        }
        // This host's list, or the reporter's, was another one.
        return hosts.size();
    }

    private boolean isStored(SuspectRequest suspect) {
        SuspectRequest stored = state.get().suspects().get(suspect.fingerprint());
        return stored != null && stored.ended().size() >= suspect.ended().size();
    }

    private boolean isCurrent(SuspectRequest suspect) {
        return known.find(suspect.fingerprint()).equals(Optional.of(suspect));
    }

    private void tellHosts(SuspectRequest suspect, Duration sinceFirstEnd) {
        broadcast.send(
                CrashMessages.suspect(suspect, sinceFirstEnd),
                CALL_TIMEOUT,
                (host, response) -> onTold(suspect.fingerprint(), host.name(), response));
    }

    private void onTold(String fingerprint, String host, Either<Failure, ControlMessage> response) {
        if (response.isLeft()) {
            LOG.info(
                    "event=suspect_not_delivered request={} host={} code={}",
                    fingerprint,
                    host,
                    response.getLeft().code());
            return;
        }
        boolean answeredThere = response.get().isSetSuspectList()
                && CrashMessages.suspects(response.get().getSuspectList()).stream()
                        .anyMatch(suspect -> suspect.fingerprint().equals(fingerprint));
        if (answeredThere) {
            answered.accept(fingerprint);
        }
    }

    private void write(SuspectRequest suspect) {
        store.put(SuspectCodec.key(suspect.fingerprint()), SuspectCodec.encode(suspect), NO_LEASE)
                .whenComplete(Handled.by(done -> done.peekLeft(failure -> {
                    LOG.warn("event=suspect_not_written request={} code={}", suspect.fingerprint(), failure.code());
                    timer.after(STORE_RETRY_DELAY, () -> {
                        if (isCurrent(suspect) && !isStored(suspect)) {
                            write(suspect);
                        }
                    });
                })));
    }
}
