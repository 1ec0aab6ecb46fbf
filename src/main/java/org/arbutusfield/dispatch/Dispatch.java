package org.arbutusfield.dispatch;

import java.net.InetAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MembershipService;
import org.arbutusfield.member.MembershipView;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.Placement;
import org.arbutusfield.proxy.RetryLimiter;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlClient;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;

/** All that decides about requests on one host, fed with members and configurations. */
public final class Dispatch implements AutoCloseable {
    private static final Duration VIEW_REFRESH = Duration.ofSeconds(1);

    private final HostIdentity self;
    private final ControlClient client;
    private final MembershipService membership;
    private final SlotExchange exchange;
    private final ShiftGate gate;
    private final LookupDesk desk;
    private final RetryBudgets retries = RetryBudgets.create();
    private final TimerService.Subscription refreshing;
    private volatile Set<String> hostAddresses = Set.of();

    private Dispatch(
            HostIdentity self,
            TimerService timer,
            ControlHandlers handlers,
            ControlClient client,
            MembershipService membership) {
        this.self = self;
        this.client = client;
        this.membership = membership;
        this.exchange = SlotExchange.start(self, timer, handlers, this::send);
        this.gate = ShiftGate.start(self, timer);
        this.desk = LookupDesk.create(self, timer);
        this.refreshing = timer.every(VIEW_REFRESH, () -> install(membership.view()));
    }

    /** Starts the parts and subscribes them to membership. */
    public static Dispatch start(
            HostIdentity self,
            TimerService timer,
            ControlHandlers handlers,
            ControlClient client,
            MembershipService membership) {
        Dispatch dispatch = new Dispatch(self, timer, handlers, client, membership);
        dispatch.install(membership.view());
        membership.onView(dispatch::install);
        return dispatch;
    }

    /** Asks for slots. */
    public SlotExchange exchange() {
        return exchange;
    }

    /** Counts moved requests. */
    public ShiftGate gate() {
        return gate;
    }

    /** Answers look-ups. */
    public LookupDesk desk() {
        return desk;
    }

    /** The placement of requests. */
    public Placement placement(Supplier<Configuration> running) {
        return RegionalPlacement.of(
                self, exchange, gate, retries, running, () -> membership.view().alive());
    }

    /** The budget of retries, per service. */
    public RetryLimiter retries() {
        return retries;
    }

    /** True when the address is that of an entry host. */
    public boolean isHost(InetAddress address) {
        return hostAddresses.contains(address.getHostAddress());
    }

    @Override
    public void close() {
        refreshing.cancel();
        exchange.close();
        gate.close();
    }

    private void install(MembershipView view) {
        exchange.membership(view);
        desk.membership(view);
        hostAddresses = view.alive().stream().map(Member::callerHost).collect(Collectors.toUnmodifiableSet());
    }

    private void send(String host, ControlMessage message) {
        Optional<Member> member = membership.view().find(host);
        member.ifPresent(m -> client.send(m.controlAddress(), message));
    }
}
