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

/** Creates the components that admit, place and retry requests on one host, and passes them changes of membership. */
public final class DispatchComponents implements AutoCloseable {
    private static final Duration VIEW_REFRESH_INTERVAL = Duration.ofSeconds(1);

    private final HostIdentity self;
    private final ControlClient client;
    private final MembershipService membership;
    private final AdmissionService admissionService;
    private final HostShiftLimiter shiftLimiter;
    private final LookupHandler lookupHandler;
    private final RetryBudgets retries = RetryBudgets.create();
    private final TimerService.ScheduledTask refreshTask;
    private volatile Set<String> hostAddresses = Set.of();

    private DispatchComponents(
            HostIdentity self,
            TimerService timer,
            ControlHandlers handlers,
            ControlClient client,
            MembershipService membership) {
        this.self = self;
        this.client = client;
        this.membership = membership;
        this.admissionService = AdmissionService.start(self, timer, handlers, this::send);
        this.shiftLimiter = HostShiftLimiter.start(self, timer);
        this.lookupHandler = LookupHandler.create(self, timer);
        this.refreshTask = timer.every(VIEW_REFRESH_INTERVAL, () -> onMembership(membership.view()));
    }

    /** Creates the components and subscribes them to membership changes. */
    public static DispatchComponents start(
            HostIdentity self,
            TimerService timer,
            ControlHandlers handlers,
            ControlClient client,
            MembershipService membership) {
        DispatchComponents dispatch = new DispatchComponents(self, timer, handlers, client, membership);
        dispatch.onMembership(membership.view());
        membership.addViewListener(dispatch::onMembership);
        return dispatch;
    }

    /** Requests and releases slots. */
    public AdmissionService admissionService() {
        return admissionService;
    }

    /** Limits the requests that are moved to other regions. */
    public HostShiftLimiter shiftLimiter() {
        return shiftLimiter;
    }

    /** Answers look-ups. */
    public LookupHandler lookupHandler() {
        return lookupHandler;
    }

    /** Creates the placement of requests. */
    public Placement placement(Supplier<Configuration> configuration) {
        return RegionalPlacement.of(
                self,
                admissionService,
                shiftLimiter,
                retries,
                configuration,
                () -> membership.view().alive());
    }

    /** The retry budgets, one for each service. */
    public RetryLimiter retries() {
        return retries;
    }

    /** True if the address belongs to an entry host. */
    public boolean isHost(InetAddress address) {
        return hostAddresses.contains(address.getHostAddress());
    }

    @Override
    public void close() {
        refreshTask.cancel();
        admissionService.close();
        shiftLimiter.close();
    }

    private void onMembership(MembershipView view) {
        admissionService.membership(view);
        lookupHandler.membership(view);
        hostAddresses = view.alive().stream().map(Member::callerHost).collect(Collectors.toUnmodifiableSet());
    }

    private void send(String host, ControlMessage message) {
        Optional<Member> member = membership.view().find(host);
        member.ifPresent(m -> client.send(m.controlAddress(), message));
    }
}
