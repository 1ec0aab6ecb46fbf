package org.arbutusfield.reach;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.EndedUpstream;
import org.arbutusfield.wire.gen.PortReport;
import org.arbutusfield.wire.gen.PortReportReceived;

/**
 * Tells all hosts when one of them has found the port of an upstream closed, or open again after that.
 *
 * <p>Problem: many hosts find the same within tenths of a second. If each told all others, there would be as many
 * messages as pairs of hosts.
 *
 * <p>Idea: each host waits for a short random time, and tells only if it has not been told by then. It tells one host,
 * the first in the upstream's rendezvous order that answers, and that one passes it on to all.
 *
 * <p>Invariants: the same report is passed on at most once in {@code QUIET_TIME} by a host. Two hosts that pass on the
 * same report, because their lists differ, cost messages only.
 *
 * <p>Example: the store is away, and upstream 3 ends. Twelve of twenty hosts lose connections and find its port closed.
 * Two of them tell host 7, which tells the other nineteen; the ten others have been told by then.
 *
 * <p>Runs on one event loop.
 */
public final class PortReports implements PortListener {
    private static final Logger LOG = LogManager.getLogger(PortReports.class);
    /** Longer than a report takes to reach all hosts, so that most hosts needn't tell. */
    private static final int MAX_DELAY_MILLIS = 200;
    /** A report is repeated after this time while its cause lasts. */
    private static final Duration QUIET_TIME = Duration.ofSeconds(4);

    private static final Duration TIMEOUT = Duration.ofMillis(300);
    /** One may be gone and one may be slow to answer. */
    private static final int RELAYS = 3;

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final HostBroadcast broadcast;
    private final PortListener receiver;
    private final TimerService timer;
    private final RandomGenerator random;
    /** Monotonic time until which a report need not be told again. */
    private final Map<Report, Long> quietUntilNanos = new HashMap<>();

    private PortReports(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            PortListener receiver,
            TimerService timer,
            RandomGenerator random) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.broadcast = HostBroadcast.of(self, state, transport);
        this.receiver = receiver;
        this.timer = timer;
        this.random = random;
    }

    /**
     * Creates the reports of a host.
     *
     * @param self name of this host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param receiver gets what other hosts report
     * @param timer clock and scheduler
     * @param random source of delays
     */
    public static PortReports create(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            PortListener receiver,
            TimerService timer,
            RandomGenerator random) {
        return new PortReports(self, state, transport, receiver, timer, random);
    }

    /** Registers the handler for reports of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(ControlMessage._Fields.PORT_REPORT, message -> {
            receive(message.getPortReport());
            return CompletableFuture.completedFuture(
                    Either.<Failure, ControlMessage>right(ControlMessage.portReportReceived(new PortReportReceived())));
        });
    }

    @Override
    public void found(UpstreamStart start, boolean open) {
        Report report = new Report(start, open);
        boolean alone = state.get().hosts().size() <= 1;
        // Larger fleets learn from the store alone.
        if (quiet(report) || alone || !broadcast.reachesAll()) {
            return;
        }
        timer.after(Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS)), () -> {
            if (!quiet(report)) {
                setQuiet(report);
                tell(report, relays(report), 0);
            }
        });
    }

    private void tell(Report report, List<HostEntry> relays, int index) {
        if (index >= relays.size()) {
            LOG.warn("event=port_report_lost id={} open={}", report.start().upstream(), report.open());
            return;
        }
        HostEntry relay = relays.get(index);
        if (relay.name().equals(self)) {
            passOn(report);
            return;
        }
        transport
                .call(PeerAddress.parse(relay.controlAddress()), message(report, false), TIMEOUT)
                .whenComplete(Handled.by(response -> response.peekLeft(failure -> tell(report, relays, index + 1))));
    }

    private void receive(PortReport message) {
        EndedUpstream upstream = message.getUpstream();
        UpstreamStart start = new UpstreamStart(upstream.getUpstream(), upstream.getStartMillis());
        Report report = new Report(start, message.isOpen());
        boolean known = quiet(report);
        setQuiet(report);
        receiver.found(start, message.isOpen());
        if (!message.isRelayed() && !known) {
            passOn(report);
        }
    }

    private void passOn(Report report) {
        broadcast.send(
                message(report, true),
                TIMEOUT,
                (host, response) -> response.peekLeft(failure ->
                        LOG.debug("event=port_report_not_received host={} code={}", host.name(), failure.code())));
    }

    /** Returns the hosts that may pass a report on, in the order in which they are tried. */
    private List<HostEntry> relays(Report report) {
        return RendezvousHosts.first(report.start().upstream(), state.get().hosts(), RELAYS);
    }

    private boolean quiet(Report report) {
        Long until = quietUntilNanos.get(report);
        return until != null && until - timer.nowNanos() > 0;
    }

    private void setQuiet(Report report) {
        long now = timer.nowNanos();
        quietUntilNanos.values().removeIf(until -> until - now <= 0);
        quietUntilNanos.put(report, now + QUIET_TIME.toNanos());
        // The opposite was found before, and is news when it is found again.
        quietUntilNanos.remove(new Report(report.start(), !report.open()));
    }

    private static ControlMessage message(Report report, boolean relayed) {
        EndedUpstream upstream =
                new EndedUpstream(report.start().upstream(), report.start().startMillis());
        return ControlMessage.portReport(new PortReport(upstream, report.open(), relayed));
    }

    /** What was found of the port of one start of an upstream. */
    private record Report(UpstreamStart start, boolean open) {}
}
