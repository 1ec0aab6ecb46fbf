package org.arbutusfield.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.TableRequest;

/** Runs the {@link MembershipView} of a host: sends its heartbeats, answers those of others, reads the list. */
public final class MembershipService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(MembershipService.class);
    private static final Duration FLUSH_DELAY = Duration.ofMillis(20);
    private static final int SYNC_ROUNDS = 32;

    private final MembershipSettings settings;
    private final ControlTransport transport;
    private final HostListSource hostList;
    private final TimerService timer;
    private final Supplier<RevisionAnnouncement> announcement;
    private final BooleanSupplier readsList;
    private final List<BiConsumer<Member, RevisionAnnouncement>> announcementListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<MembershipView>> viewListeners = new CopyOnWriteArrayList<>();
    private final List<TimerService.ScheduledTask> subscriptions = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
    private MembershipView view;
    private boolean flushPending;

    private MembershipService(
            MembershipSettings settings,
            ControlTransport transport,
            HostListSource hostList,
            TimerService timer,
            Supplier<RevisionAnnouncement> announcement,
            BooleanSupplier readsList) {
        this.settings = settings;
        this.transport = transport;
        this.hostList = hostList;
        this.timer = timer;
        this.announcement = announcement;
        this.readsList = readsList;
        this.view = MembershipView.start(settings.self(), settings.limits(), timer.nowNanos());
    }

    /**
     * Starts the service.
     *
     * @param settings this host, seeds and limits
     * @param transport sends the heartbeats
     * @param handlers receives the handlers of heartbeats and table requests
     * @param hostList the platform's list
     * @param timer drives the rounds
     * @param announcement the installed configuration, carried in heartbeats
     * @param readsList whether this host reads the list at present; true on few hosts
     */
    public static MembershipService start(
            MembershipSettings settings,
            ControlTransport transport,
            ControlHandlers handlers,
            HostListSource hostList,
            TimerService timer,
            Supplier<RevisionAnnouncement> announcement,
            BooleanSupplier readsList) {
        MembershipService service =
                new MembershipService(settings, transport, hostList, timer, announcement, readsList);
        handlers.register(ControlMessage._Fields.HEARTBEAT, service::onHeartbeat);
        handlers.register(ControlMessage._Fields.TABLE_REQUEST, service::onTableRequest);
        service.subscriptions.add(timer.after(Duration.ZERO, service::tick));
        service.subscriptions.add(timer.every(settings.limits().interval(), service::tick));
        service.subscriptions.add(timer.after(Duration.ZERO, service::readList));
        service.subscriptions.add(timer.every(settings.listInterval(), service::readList));
        return service;
    }

    /** The view as of now. */
    public MembershipView view() {
        synchronized (lock) {
            return view;
        }
    }

    /** Adds a listener of what other hosts announce; it runs on network threads and must not block. */
    public void addAnnouncementListener(BiConsumer<Member, RevisionAnnouncement> listener) {
        announcementListeners.add(listener);
    }

    /** Adds a listener of changed members; it must not block, and reads {@link #view()} where order matters. */
    public void addViewListener(Consumer<MembershipView> listener) {
        viewListeners.add(listener);
    }

    /** Sends heartbeats soon, because the announcement changed. */
    public void scheduleFlush() {
        synchronized (lock) {
            if (flushPending) {
                return;
            }
            flushPending = true;
        }
        timer.after(FLUSH_DELAY, this::flush);
    }

    /** Tells all hosts that this one leaves. */
    public void leave() {
        LOG.info("event=member_leaving name={}", settings.self().name());
        apply(current -> current.leave(timer.nowNanos()));
        flush();
    }

    /** Stops sending; handlers stay registered and go on answering. */
    @Override
    public void close() {
        subscriptions.forEach(TimerService.ScheduledTask::cancel);
    }

    private void tick() {
        MembershipTransition step = apply(current -> current.tick(timer.nowNanos(), announcement.get()));
        if (step.view().table().presentCount() <= 1) {
            settings.seeds().forEach(this::join);
        }
    }

    private void flush() {
        synchronized (lock) {
            flushPending = false;
        }
        apply(current -> current.flush(timer.nowNanos(), announcement.get()));
    }

    private void readList() {
        if (!readsList.getAsBoolean()) {
            return;
        }
        hostList.current()
                .thenAccept(list -> list.peek(
                                members -> apply(current -> current.onHostList(members, timer.nowNanos())))
                        .peekLeft(failure -> LOG.warn("event=host_list_unread code={}", failure.code())));
    }

    private MembershipTransition apply(Function<MembershipView, MembershipTransition> input) {
        MembershipTransition step;
        boolean changed;
        synchronized (lock) {
            step = input.apply(view);
            changed = step.view().table() != view.table();
            view = step.view();
        }
        for (OutgoingHeartbeat outgoing : step.outgoing()) {
            send(outgoing.to().controlAddress(), outgoing.heartbeat());
        }
        step.syncWith().ifPresent(peer -> sync(peer.controlAddress(), SYNC_ROUNDS));
        if (step.urgent()) {
            scheduleFlush();
        }
        if (changed) {
            viewListeners.forEach(listener -> listener.accept(step.view()));
        }
        return step;
    }

    private void send(PeerAddress peer, Heartbeat heartbeat) {
        transport
                .call(peer, HeartbeatCodec.encode(heartbeat), settings.limits().interval())
                .thenAccept(answer -> answer.flatMap(HeartbeatCodec::decode).peek(response -> {
                    apply(current -> current.onResponse(response, timer.nowNanos()));
                    announced(response);
                }));
    }

    private void join(PeerAddress seed) {
        if (seed.equals(settings.self().controlAddress())) {
            return;
        }
        Heartbeat introduction;
        synchronized (lock) {
            introduction = view.introduction(announcement.get());
        }
        transport
                .call(
                        seed,
                        HeartbeatCodec.encode(introduction),
                        settings.limits().interval())
                .thenAccept(answer -> answer.flatMap(HeartbeatCodec::decode).peek(response -> {
                    apply(current -> current.onResponse(response, timer.nowNanos()));
                    announced(response);
                    sync(seed, SYNC_ROUNDS);
                }));
    }

    private void sync(PeerAddress peer, int roundsLeft) {
        MemberTable before = view().table();
        TableRequest request = new TableRequest();
        request.setBucketDigests(before.bucketDigests());
        transport
                .call(
                        peer,
                        ControlMessage.tableRequest(request),
                        settings.limits().interval())
                .thenAccept(answer -> answer.flatMap(HeartbeatCodec::decodeTable)
                        .peek(statements -> {
                            MembershipTransition step = apply(current -> current.onTable(statements, timer.nowNanos()));
                            boolean advanced = step.view().table().digest() != before.digest();
                            if (advanced && roundsLeft > 1) {
                                sync(peer, roundsLeft - 1);
                            }
                        }));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> onHeartbeat(ControlMessage message) {
        Either<Failure, ControlMessage> answer = HeartbeatCodec.decode(message).map(heartbeat -> {
            MembershipTransition step =
                    apply(current -> current.onHeartbeat(heartbeat, timer.nowNanos(), announcement.get()));
            announced(heartbeat);
            return HeartbeatCodec.encode(step.reply().orElseThrow());
        });
        return CompletableFuture.completedFuture(answer);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> onTableRequest(ControlMessage message) {
        List<Long> digests = message.getTableRequest().getBucketDigests();
        List<Rumour> differing =
                view().table().differing(digests == null ? List.of() : digests, MembershipView.MAX_TABLE_RUMOURS);
        return CompletableFuture.completedFuture(Either.right(HeartbeatCodec.encodeTable(differing)));
    }

    private void announced(Heartbeat heartbeat) {
        if (heartbeat.announcement().revision() == 0) {
            return;
        }
        view().find(heartbeat.name())
                .ifPresent(member ->
                        announcementListeners.forEach(listener -> listener.accept(member, heartbeat.announcement())));
    }
}
