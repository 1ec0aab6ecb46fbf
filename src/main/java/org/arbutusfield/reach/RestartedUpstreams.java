package org.arbutusfield.reach;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.TimerService;

/**
 * Adds to the state of the store which upstreams have ended and started again, as far as this host's own links show it.
 *
 * <p>Problem: an upstream is cold after a start and accepts only a few requests. Its entry in the store tells so, but
 * the host may read that late, or not at all while the store is away, and meanwhile takes the upstream for warm.
 *
 * <p>Idea: connections that are lost, can't be opened or can be opened again are a sign that the upstream may have
 * ended. The host then connects to its port. If that is refused, nothing listens there: the upstream has ended, and is
 * cold when it is back. The host goes on trying until the port accepts, and takes the upstream for cold from the end
 * until the cold period of its service has passed after that. It tells the other hosts what it finds, since those that
 * have no connection to lose see nothing.
 *
 * <p>A port that doesn't answer tells less: the upstream may be restarting, or a link is cut. The host goes on trying.
 * When the port accepts again, a connection that has outlived the silence proves that the upstream didn't restart, and
 * so does a store that answers and still has the same start. Without either the upstream is taken for cold: if that is
 * wrong, one upstream gets few requests for a cold period; if it were taken for warm wrongly, it might crash.
 *
 * <p>Invariants: while the store answers, an upstream whose port no host found closed is never taken for cold, whatever
 * happens to connections; nor is one for its silence alone while this host reaches no upstream at all, or while a
 * connection to it goes on. What was found holds for one start of the upstream; a new entry replaces it.
 *
 * <p>Example: the store is away. Upstream 3 crashes, this host loses a connection, and the port is closed. A second
 * later the port accepts: for three seconds upstream 3 gets from this host only its part of the cold rate.
 *
 * <p>Runs on one event loop.
 */
public final class RestartedUpstreams {
    private static final Logger LOG = LogManager.getLogger(RestartedUpstreams.class);
    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(1);
    /** Longer than any outage of the store; replaced as soon as the upstream is back. */
    private static final Duration WHILE_CLOSED = Duration.ofDays(1);

    /** How often it is looked whether an upstream that was silent has restarted. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
    /** The store has answered for long enough to have the entry of a new start. */
    private static final int CONFIRMING_CHECKS = 5;

    /** Reports are repeated while a port stays closed, in less than this. */
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(10);

    private final UpstreamProbe probe;
    private final SilenceEvidence evidence;
    private final PortListener listener;
    private final TimerService timer;
    private final Consumer<SteeringState> subscriber;
    /** Monotonic time until which an upstream counts as cold, by its start. */
    private final Map<UpstreamStart, Long> coldUntilByStart = new HashMap<>();

    /** The same for upstreams that may have restarted behind a silence; taken back if they didn't. */
    private final Map<UpstreamStart, Long> assumedColdUntilByStart = new HashMap<>();

    private final Set<UpstreamStart> probing = new HashSet<>();
    /** Starts whose port was closed when last looked at. */
    private final Set<UpstreamStart> closed = new HashSet<>();
    /** Starts whose port gave no answer when last looked at. */
    private final Map<UpstreamStart, Silence> silent = new HashMap<>();
    /** The next probe of each upstream that is looked at again. */
    private final Map<UpstreamStart, TimerService.ScheduledTask> nextProbe = new HashMap<>();

    private SteeringState stored = SteeringState.empty();

    private RestartedUpstreams(
            UpstreamProbe probe,
            SilenceEvidence evidence,
            PortListener listener,
            TimerService timer,
            Consumer<SteeringState> subscriber) {
        this.probe = probe;
        this.evidence = evidence;
        this.listener = listener;
        this.timer = timer;
        this.subscriber = subscriber;
    }

    /**
     * Creates an instance that knows of no restart.
     *
     * @param probe tries to connect to an upstream
     * @param evidence what else is known of an upstream that doesn't answer
     * @param listener gets what this host finds of ports
     * @param timer clock and scheduler
     * @param subscriber gets the state with what this host has found, each time that either changes
     */
    public static RestartedUpstreams create(
            UpstreamProbe probe,
            SilenceEvidence evidence,
            PortListener listener,
            TimerService timer,
            Consumer<SteeringState> subscriber) {
        return new RestartedUpstreams(probe, evidence, listener, timer, subscriber);
    }

    /** Takes a new state of the store into account. */
    public void stateChanged(SteeringState next) {
        stored = next;
        Set<UpstreamStart> starts = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(upstream -> starts.add(upstream.start())));
        long now = timer.nowNanos();
        closed.retainAll(starts);
        silent.keySet().retainAll(starts);
        removeOver(coldUntilByStart, starts, now);
        removeOver(assumedColdUntilByStart, starts, now);
        publish();
    }

    private static void removeOver(Map<UpstreamStart, Long> untilByStart, Set<UpstreamStart> starts, long now) {
        untilByStart.entrySet().removeIf(known -> !starts.contains(known.getKey()) || known.getValue() - now <= 0);
    }

    /** Called when connections to an address were lost, can't be opened, or can be opened again. */
    public void mayHaveRestarted(InetSocketAddress address) {
        for (LiveUpstream upstream : upstreamsAt(address)) {
            if (coldPeriod(upstream).isZero()) {
                continue;
            }
            if (probing.add(upstream.start())) {
                probe(upstream, FIRST_PROBE_DELAY);
            } else {
                hastenProbe(upstream);
            }
        }
    }

    /** An upstream that was silent may be back, and must not wait for its next probe. */
    private void hastenProbe(LiveUpstream upstream) {
        Silence silence = silent.get(upstream.start());
        boolean due = silence != null
                && timer.nowNanos() - silence.unansweredNanos() >= FIRST_PROBE_DELAY.toNanos()
                && nextProbe.containsKey(upstream.start());
        if (due) {
            nextProbe.remove(upstream.start()).cancel();
            probe(upstream, FIRST_PROBE_DELAY);
        }
    }

    private void probe(LiveUpstream upstream, Duration nextDelay) {
        long begunNanos = timer.nowNanos();
        probe.connect(addressOf(upstream))
                .whenComplete(Handled.by(result -> onProbe(upstream, result, nextDelay, begunNanos)));
    }

    private void onProbe(LiveUpstream upstream, UpstreamProbe.Result result, Duration nextDelay, long begunNanos) {
        UpstreamStart start = upstream.start();
        switch (result) {
            case REFUSED -> foundClosed(upstream);
            case ACCEPTED -> foundOpen(upstream);
            default -> foundSilent(upstream, begunNanos);
        }
        if (closed.contains(start) || silent.containsKey(start)) {
            nextProbe.put(start, timer.after(nextDelay, () -> probeAgain(upstream, nextDelay)));
        } else {
            probing.remove(start);
        }
    }

    private void foundOpen(LiveUpstream upstream) {
        UpstreamStart start = upstream.start();
        Silence silence = silent.remove(start);
        if (closed.remove(start)) {
            Duration cold = coldPeriod(upstream);
            LOG.info("event=upstream_started_again id={} cold_ms={}", upstream.name(), cold.toMillis());
            setColdFor(start, cold);
            listener.found(start, true);
        } else if (silence != null) {
            long coldUntil = timer.nowNanos() + coldPeriod(upstream).toNanos();
            LOG.info(
                    "event=upstream_answers_again id={} silent_ms={} store_answers={}",
                    upstream.name(),
                    Duration.ofNanos(timer.nowNanos() - silence.sinceNanos()).toMillis(),
                    evidence.storeAnswers().getAsBoolean());
            if (assumedColdUntilByStart.replace(start, coldUntil) != null) {
                publish();
            }
            checkRestarted(upstream, silence, coldUntil, 0);
        }
    }

    /** Takes an upstream for silent unless its port was closed, or the silence has another reason. */
    private void foundSilent(LiveUpstream upstream, long begunNanos) {
        UpstreamStart start = upstream.start();
        if (closed.contains(start)) {
            return;
        }
        boolean goesOn = evidence.witness().survives(addressOf(upstream), begunNanos, begunNanos);
        if (goesOn || evidence.cutOff().getAsBoolean()) {
            silent.remove(start);
            forgetAssumption(start);
            return;
        }
        long now = timer.nowNanos();
        Silence known = silent.get(start);
        silent.put(start, new Silence(known == null ? begunNanos : known.sinceNanos(), now));
        if (known == null) {
            LOG.info("event=upstream_port_silent id={} start={}", upstream.name(), start.startMillis());
        }
        if (!evidence.storeAnswers().getAsBoolean()) {
            assumeColdUntil(start, now + WHILE_CLOSED.toNanos());
        }
    }

    /**
     * Takes an upstream that was silent for cold, unless something proves that it didn't restart. Repeated until that
     * is known, or until it would be warm in any case.
     *
     * @param storeAnswers number of checks in a row at which the store answered
     */
    private void checkRestarted(LiveUpstream upstream, Silence silence, long coldUntil, int storeAnswers) {
        UpstreamStart start = upstream.start();
        boolean decided = closed.contains(start)
                || silent.containsKey(start)
                || current(start).isEmpty();
        if (decided || coldUntil - timer.nowNanos() <= 0) {
            return;
        }
        boolean survived =
                evidence.witness().survives(addressOf(upstream), silence.sinceNanos(), silence.unansweredNanos());
        if (survived || storeAnswers >= CONFIRMING_CHECKS) {
            LOG.info("event=upstream_not_restarted id={} by={}", upstream.name(), survived ? "connection" : "store");
            forgetAssumption(start);
            return;
        }
        boolean answers = evidence.storeAnswers().getAsBoolean();
        if (!answers && !assumedColdUntilByStart.containsKey(start)) {
            LOG.info("event=upstream_taken_for_restarted id={}", upstream.name());
            assumeColdUntil(start, coldUntil);
        }
        int answersInARow = answers ? storeAnswers + 1 : 0;
        timer.after(CHECK_INTERVAL, () -> checkRestarted(upstream, silence, coldUntil, answersInARow));
    }

    private void assumeColdUntil(UpstreamStart start, long nanos) {
        assumedColdUntilByStart.put(start, nanos);
        publish();
    }

    /** What was found of the upstream's port stays. */
    private void forgetAssumption(UpstreamStart start) {
        if (assumedColdUntilByStart.remove(start) != null) {
            publish();
        }
    }

    private void foundClosed(LiveUpstream upstream) {
        UpstreamStart start = upstream.start();
        silent.remove(start);
        assumedColdUntilByStart.remove(start);
        if (closed.add(start)) {
            LOG.info("event=upstream_ended id={} start={}", upstream.name(), upstream.startMillis());
            setColdFor(start, WHILE_CLOSED);
        }
        listener.found(start, false);
    }

    /**
     * Takes into account what another host has found of an upstream's port. What this host finds itself counts more.
     *
     * @param start start of the upstream for which it was found
     * @param open false if nothing listens at the port; true if something does again
     */
    public void portReported(UpstreamStart start, boolean open) {
        Optional<LiveUpstream> upstream = current(start);
        if (upstream.isEmpty() || closed.contains(start)) {
            return;
        }
        Duration cold = coldPeriod(upstream.get());
        if (cold.isZero()) {
            return;
        }
        LOG.info("event=upstream_port_reported id={} start={} open={}", start.upstream(), start.startMillis(), open);
        setColdFor(start, open ? cold : REPORT_VALIDITY);
    }

    private Optional<LiveUpstream> current(UpstreamStart start) {
        return stored.upstreams().values().stream()
                .flatMap(List::stream)
                .filter(upstream -> upstream.start().equals(start))
                .findFirst();
    }

    private void probeAgain(LiveUpstream upstream, Duration delay) {
        nextProbe.remove(upstream.start());
        boolean current = stored.upstream(upstream.upstream().service(), upstream.name())
                .filter(live -> live.startMillis() == upstream.startMillis())
                .isPresent();
        if (!current) {
            probing.remove(upstream.start());
            closed.remove(upstream.start());
            silent.remove(upstream.start());
            return;
        }
        Duration doubled = delay.multipliedBy(2);
        probe(upstream, doubled.compareTo(MAX_PROBE_DELAY) < 0 ? doubled : MAX_PROBE_DELAY);
    }

    private void setColdFor(UpstreamStart start, Duration time) {
        coldUntilByStart.put(start, timer.nowNanos() + time.toNanos());
        publish();
    }

    private void publish() {
        boolean unchanged = coldUntilByStart.isEmpty() && assumedColdUntilByStart.isEmpty();
        subscriber.accept(unchanged ? stored : stored.withUpstreams(this::withRestart));
    }

    private LiveUpstream withRestart(LiveUpstream upstream) {
        LiveUpstream found = withColdUntil(upstream, coldUntilByStart.get(upstream.start()));
        return withColdUntil(found, assumedColdUntilByStart.get(upstream.start()));
    }

    /** Returns the upstream, cold until a time if that is later than the one that it has; null is no time. */
    private static LiveUpstream withColdUntil(LiveUpstream upstream, Long coldUntil) {
        boolean longer = coldUntil != null && coldUntil - upstream.coldUntilNanos() > 0;
        return longer ? upstream.withColdUntil(coldUntil) : upstream;
    }

    /** More than one, while the entry of an upstream that has left the address stays in the store. */
    private List<LiveUpstream> upstreamsAt(InetSocketAddress address) {
        List<LiveUpstream> all = new ArrayList<>();
        stored.upstreams().values().forEach(all::addAll);
        return all.stream()
                .filter(upstream -> addressOf(upstream).equals(address))
                .toList();
    }

    private static InetSocketAddress addressOf(LiveUpstream upstream) {
        return new InetSocketAddress(
                upstream.upstream().host(), upstream.upstream().port());
    }

    private Duration coldPeriod(LiveUpstream upstream) {
        return stored.routes()
                .flatMap(table -> table.service(upstream.upstream().service()))
                .map(ServicePolicy::coldPeriod)
                .orElse(Duration.ZERO);
    }

    /**
     * A silence of an upstream.
     *
     * @param sinceNanos monotonic time at which the first probe was begun that got no answer
     * @param unansweredNanos monotonic time at which the last one was given up
     */
    private record Silence(long sinceNanos, long unansweredNanos) {}
}
