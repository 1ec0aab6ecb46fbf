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
import org.arbutusfield.admission.SlotServer;
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

/** All groups of servers of this host's region, and the messages about them between hosts. */
public final class AdmissionService implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(10);

    private final HostIdentity self;
    private final TimerService timer;
    private final ControlMessageSender post;
    private final Map<String, SlotGroup> groups = new ConcurrentHashMap<>();
    private final TimerService.ScheduledTask ticking;
    private volatile Set<String> liveHosts = Set.of();

    private AdmissionService(HostIdentity self, TimerService timer, ControlMessageSender post) {
        this.self = self;
        this.timer = timer;
        this.post = post;
        this.ticking = timer.every(TICK, () -> groups.values().forEach(SlotGroup::tick));
    }

    /** Starts the exchange and registers its messages. */
    static AdmissionService start(
            HostIdentity self, TimerService timer, ControlHandlers handlers, ControlMessageSender post) {
        AdmissionService service = new AdmissionService(self, timer, post);
        handlers.register(ControlMessage._Fields.SLOT_REQUEST, service::toBroker);
        handlers.register(ControlMessage._Fields.SLOT_RELEASE, service::toBroker);
        handlers.register(ControlMessage._Fields.SLOT_CANCEL, service::toBroker);
        handlers.register(ControlMessage._Fields.SLOT_TAKEOVER, service::toBroker);
        handlers.register(ControlMessage._Fields.HELD_SLOTS, service::toBroker);
        handlers.register(ControlMessage._Fields.SLOT_GRANT, service::toClient);
        handlers.register(ControlMessage._Fields.SLOT_REFUSAL, service::toClient);
        handlers.register(ControlMessage._Fields.SLOT_PERMIT, service::toClient);
        handlers.register(ControlMessage._Fields.BROKER_HEARTBEAT, service::heartbeat);
        return service;
    }

    /**
     * Asks for a slot of a service in this region.
     *
     * @return the name of a server, or why the request is refused and not run
     */
    public CompletableFuture<Either<Failure, String>> ask(SlotRequest request) {
        SlotGroup group = groups.get(key(request.service()));
        if (group == null) {
            return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.NO_UPSTREAM, request.service())));
        }
        return group.ask(request);
    }

    /** Ends a request that waits. */
    public void abandon(String service, String requestId) {
        find(key(service)).ifPresent(group -> group.abandon(requestId));
    }

    /** Gives a slot back. */
    public void finished(String service, String requestId, SlotRelease.Outcome outcome, long serviceNanos) {
        find(key(service)).ifPresent(group -> group.finished(requestId, outcome, serviceNanos));
    }

    /** Installs the configuration in force. Groups whose service is gone keep no servers and refuse. */
    public void configure(Configuration configuration) {
        for (Service service : configuration.items(Service.class)) {
            groups.computeIfAbsent(key(service.name()), this::createGroup);
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

    /** How all groups stand. */
    public List<SlotGroupStatus> status() {
        return groups.values().stream().map(SlotGroup::status).toList();
    }

    @Override
    public void close() {
        ticking.cancel();
    }

    private SlotGroup createGroup(String key) {
        SlotGroup group = SlotGroup.create(key, self, timer, post);
        group.membership(liveHosts);
        return group;
    }

    private List<SlotServer> servers(Configuration configuration, String key) {
        String service = key.substring(0, key.length() - self.region().length() - 1);
        return configuration.upstreams(service).stream()
                .filter(upstream -> configuration.regionOf(upstream).equals(Optional.of(self.region())))
                .map(upstream -> server(configuration, upstream))
                .toList();
    }

    private static SlotServer server(Configuration configuration, Upstream upstream) {
        return new SlotServer(
                upstream.name(), upstream.failureDomain(), upstream.slots(), configuration.drained(upstream));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> toBroker(ControlMessage message) {
        return done(SlotCodec.decodeToBroker(message).map(m -> {
            find(m.group()).ifPresent(group -> group.onMessageToBroker(m.host(), m.message()));
            return message;
        }));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> toClient(ControlMessage message) {
        String key =
                switch (message.getSetField()) {
                    case SLOT_GRANT -> message.getSlotGrant().getGroup();
                    case SLOT_PERMIT -> message.getSlotPermit().getGroup();
                    default -> message.getSlotRefusal().getGroup();
                };
        return done(SlotCodec.decodeDecision(self.name(), message).map(decision -> {
            find(key).ifPresent(group -> group.onDecision(decision));
            return message;
        }));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> heartbeat(ControlMessage message) {
        String broker = message.getBrokerHeartbeat().getBroker();
        if (broker == null) {
            return done(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "broker heartbeat")));
        }
        find(message.getBrokerHeartbeat().getGroup())
                .ifPresent(group -> group.onBrokerHeartbeat(
                        broker, message.getBrokerHeartbeat().getEpoch()));
        return done(Either.right(message));
    }

    private Optional<SlotGroup> find(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(groups.get(key));
    }

    private String key(String service) {
        return service + "/" + self.region();
    }

    private static CompletableFuture<Either<Failure, ControlMessage>> done(Either<Failure, ControlMessage> result) {
        return CompletableFuture.completedFuture(result);
    }
}
