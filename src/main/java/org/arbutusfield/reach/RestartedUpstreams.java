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
 * <p>Invariants: an upstream whose port no host found closed is never taken for cold, whatever happens to connections.
 * What was found holds for one start of the upstream; a new entry replaces it.
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

    /** Reports are repeated while a port stays closed, in less than this. */
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(10);

    private final UpstreamProbe probe;
    private final PortListener listener;
    private final TimerService timer;
    private final Consumer<SteeringState> subscriber;
    /** Monotonic time until which an upstream counts as cold, by its start. */
    private final Map<UpstreamStart, Long> coldUntilByStart = new HashMap<>();

    private final Set<UpstreamStart> probing = new HashSet<>();
    /** Starts whose port was closed when last looked at. */
    private final Set<UpstreamStart> closed = new HashSet<>();

    private SteeringState stored = SteeringState.empty();

    private RestartedUpstreams(
            UpstreamProbe probe, PortListener listener, TimerService timer, Consumer<SteeringState> subscriber) {
        this.probe = probe;
        this.listener = listener;
        this.timer = timer;
        this.subscriber = subscriber;
    }

    /**
     * Creates an instance that knows of no restart.
     *
     * @param probe tries to connect to an upstream
     * @param listener gets what this host finds of ports
     * @param timer clock and scheduler
     * @param subscriber gets the state with what this host has found, each time that either changes
     */
    public static RestartedUpstreams create(
            UpstreamProbe probe, PortListener listener, TimerService timer, Consumer<SteeringState> subscriber) {
        return new RestartedUpstreams(probe, listener, timer, subscriber);
    }

    /** Takes a new state of the store into account. */
    public void stateChanged(SteeringState next) {
        stored = next;
        Set<UpstreamStart> starts = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(upstream -> starts.add(upstream.start())));
        long now = timer.nowNanos();
        closed.retainAll(starts);
        coldUntilByStart.entrySet().removeIf(known -> !starts.contains(known.getKey()) || known.getValue() - now <= 0);
        publish();
    }

    /** Called when connections to an address were lost, can't be opened, or can be opened again. */
    public void mayHaveRestarted(InetSocketAddress address) {
        for (LiveUpstream upstream : upstreamsAt(address)) {
            if (!coldPeriod(upstream).isZero() && probing.add(upstream.start())) {
                probe(upstream, FIRST_PROBE_DELAY);
            }
        }
    }

    private void probe(LiveUpstream upstream, Duration nextDelay) {
        probe.connect(addressOf(upstream)).thenAccept(result -> onProbe(upstream, result, nextDelay));
    }

    private void onProbe(LiveUpstream upstream, UpstreamProbe.Result result, Duration nextDelay) {
        UpstreamStart start = upstream.start();
        if (result == UpstreamProbe.Result.REFUSED) {
            foundClosed(upstream);
        } else if (result == UpstreamProbe.Result.ACCEPTED && closed.remove(start)) {
            Duration cold = coldPeriod(upstream);
            LOG.info("event=upstream_started_again id={} cold_ms={}", upstream.name(), cold.toMillis());
            setColdFor(start, cold);
            listener.found(start, true);
        }
        if (closed.contains(start)) {
            timer.after(nextDelay, () -> probeAgain(upstream, nextDelay));
        } else {
            probing.remove(start);
        }
    }

    private void foundClosed(LiveUpstream upstream) {
        UpstreamStart start = upstream.start();
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
        boolean current = stored.upstream(upstream.upstream().service(), upstream.name())
                .filter(live -> live.startMillis() == upstream.startMillis())
                .isPresent();
        if (!current) {
            probing.remove(upstream.start());
            closed.remove(upstream.start());
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
        subscriber.accept(coldUntilByStart.isEmpty() ? stored : stored.withUpstreams(this::withRestart));
    }

    private LiveUpstream withRestart(LiveUpstream upstream) {
        Long coldUntil = coldUntilByStart.get(upstream.start());
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
}
