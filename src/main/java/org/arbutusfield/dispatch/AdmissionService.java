package org.arbutusfield.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.UpstreamSlots;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MembershipView;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Admission on this host: one {@link SlotGroup} for each service of this host's region, and the control messages
 * between them.
 */
public final class AdmissionService implements AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final HostIdentity self;
    private final TimerService timer;
    private final ControlMessageSender sender;
    private final Map<String, SlotGroup> groups = new ConcurrentHashMap<>();
    private final TimerService.ScheduledTask tickTask;
    private volatile Set<String> liveHosts = Set.of();

    private AdmissionService(HostIdentity self, TimerService timer, ControlMessageSender sender) {
        this.self = self;
        this.timer = timer;
        this.sender = sender;
        this.tickTask = timer.every(TICK_INTERVAL, () -> groups.values().forEach(SlotGroup::tick));
    }

    /** Creates the service and registers its message handlers. */
    static AdmissionService start(
            HostIdentity self, TimerService timer, ControlHandlers handlers, ControlMessageSender sender) {
        AdmissionService service = new AdmissionService(self, timer, sender);
        handlers.register(ControlMessage._Fields.SLOT_REQUEST, service::handleMessageToBroker);
        handlers.register(ControlMessage._Fields.SLOT_RELEASE, service::handleMessageToBroker);
        handlers.register(ControlMessage._Fields.SLOT_CANCEL, service::handleMessageToBroker);
        handlers.register(ControlMessage._Fields.SLOT_TAKEOVER, service::handleMessageToBroker);
        handlers.register(ControlMessage._Fields.HELD_SLOTS, service::handleMessageToBroker);
        handlers.register(ControlMessage._Fields.SLOT_GRANT, service::handleDecision);
        handlers.register(ControlMessage._Fields.SLOT_REFUSAL, service::handleDecision);
        handlers.register(ControlMessage._Fields.SLOT_PERMIT, service::handleDecision);
        handlers.register(ControlMessage._Fields.BROKER_HEARTBEAT, service::handleHeartbeat);
        return service;
    }

    /**
     * Requests a slot of a service in this region.
     *
     * @return the name of an upstream, or the reason why the request is refused and not run
     */
    public CompletableFuture<Either<Failure, String>> requestSlot(SlotRequest request) {
        SlotGroup group = groups.get(groupKey(request.service()));
        if (group == null) {
            return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.NO_UPSTREAM, request.service())));
        }
        return group.requestSlot(request);
    }

    /** Cancels a request that waits for a slot. */
    public void cancelRequest(String service, String requestId) {
        find(groupKey(service)).ifPresent(group -> group.cancelRequest(requestId));
    }

    /** Releases the slot of a request. */
    public void releaseSlot(String service, String requestId, SlotRelease.Outcome outcome, long serviceNanos) {
        find(groupKey(service)).ifPresent(group -> group.releaseSlot(requestId, outcome, serviceNanos));
    }

    /** Installs the configuration in force. Groups whose service was removed keep no upstreams and refuse requests. */
    public void configure(Configuration configuration) {
        for (Service service : configuration.items(Service.class)) {
            groups.computeIfAbsent(groupKey(service.name()), this::createGroup);
        }
        groups.forEach((key, group) -> group.configure(servers(configuration, key)));
    }

    /** Installs the live hosts. */
    public void membership(MembershipView view) {
        liveHosts = view.alive().stream()
                .filter(member -> member.region().equals(self.region()))
                .map(Member::name)
                .collect(Collectors.toUnmodifiableSet());
        groups.values().forEach(group -> group.membership(liveHosts));
    }

    /** Returns the status of all groups. */
    public List<SlotGroupStatus> status() {
        return groups.values().stream().map(SlotGroup::status).toList();
    }

    @Override
    public void close() {
        tickTask.cancel();
    }

    private SlotGroup createGroup(String key) {
        SlotGroup group = SlotGroup.create(key, self, timer, sender);
        group.membership(liveHosts);
        return group;
    }

    private List<UpstreamSlots> servers(Configuration configuration, String key) {
        String service = key.substring(0, key.length() - self.region().length() - 1);
        return configuration.upstreams(service).stream()
                .filter(upstream -> configuration.regionOf(upstream).equals(Optional.of(self.region())))
                .map(upstream -> server(configuration, upstream))
                .toList();
    }

    private static UpstreamSlots server(Configuration configuration, Upstream upstream) {
        return new UpstreamSlots(
                upstream.name(), upstream.failureDomain(), upstream.slots(), configuration.drained(upstream));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> handleMessageToBroker(ControlMessage message) {
        return completed(SlotCodec.decodeToBroker(message).map(m -> {
            find(m.group()).ifPresent(group -> group.onMessageToBroker(m.host(), m.message()));
            return message;
        }));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> handleDecision(ControlMessage message) {
        String key =
                switch (message.getSetField()) {
                    case SLOT_GRANT -> message.getSlotGrant().getGroup();
                    case SLOT_PERMIT -> message.getSlotPermit().getGroup();
                    default -> message.getSlotRefusal().getGroup();
                };
        return completed(SlotCodec.decodeDecision(self.name(), message).map(decision -> {
            find(key).ifPresent(group -> group.onDecision(decision));
            return message;
        }));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> handleHeartbeat(ControlMessage message) {
        String broker = message.getBrokerHeartbeat().getBroker();
        if (broker == null) {
            return completed(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "broker heartbeat")));
        }
        find(message.getBrokerHeartbeat().getGroup())
                .ifPresent(group -> group.onBrokerHeartbeat(
                        broker, message.getBrokerHeartbeat().getEpoch()));
        return completed(Either.right(message));
    }

    private Optional<SlotGroup> find(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(groups.get(key));
    }

    private String groupKey(String service) {
        return service + "/" + self.region();
    }

    private static CompletableFuture<Either<Failure, ControlMessage>> completed(
            Either<Failure, ControlMessage> result) {
        return CompletableFuture.completedFuture(result);
    }
}
