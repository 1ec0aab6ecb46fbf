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
import org.arbutusfield.misc.Handled;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.TableRequest;

/**
 * Runs the {@link MembershipView} of a host: sends its heartbeats, responds to those of other hosts and reads the
 * platform's host list.
 */
public final class MembershipService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(MembershipService.class);
    private static final Duration FLUSH_DELAY = Duration.ofMillis(20);
    private static final int SYNC_ROUNDS = 32;

    private final MembershipSettings settings;
    private final ControlTransport transport;
    private final HostListSource hostList;
    private final TimerService timer;
    private final Supplier<RevisionAnnouncement> announcement;
    private final BooleanSupplier readsHostList;
    private final List<BiConsumer<Member, RevisionAnnouncement>> announcementListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<MembershipView>> viewListeners = new CopyOnWriteArrayList<>();
    private final List<TimerService.ScheduledTask> scheduledTasks = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
    private MembershipView view;
    private boolean flushPending;

    private MembershipService(
            MembershipSettings settings,
            ControlTransport transport,
            HostListSource hostList,
            TimerService timer,
            Supplier<RevisionAnnouncement> announcement,
            BooleanSupplier readsHostList) {
        this.settings = settings;
        this.transport = transport;
        this.hostList = hostList;
        this.timer = timer;
        this.announcement = announcement;
        this.readsHostList = readsHostList;
        this.view = MembershipView.start(settings.self(), settings.limits(), timer.nowNanos());
    }

    /**
     * Starts the service.
     *
     * @param settings this host, seeds and limits
     * @param transport sends the heartbeats
     * @param handlers registry for the handlers of heartbeats and table requests
     * @param hostList reads the platform's host list
     * @param timer schedules the heartbeat rounds and the readings of the list
     * @param announcement the installed configuration, carried in heartbeats
     * @param readsHostList whether this host reads the host list at present; true on few hosts
     */
    public static MembershipService start(
            MembershipSettings settings,
            ControlTransport transport,
            ControlHandlers handlers,
            HostListSource hostList,
            TimerService timer,
            Supplier<RevisionAnnouncement> announcement,
            BooleanSupplier readsHostList) {
        MembershipService service =
                new MembershipService(settings, transport, hostList, timer, announcement, readsHostList);
        handlers.register(ControlMessage._Fields.HEARTBEAT, service::onHeartbeat);
        handlers.register(ControlMessage._Fields.TABLE_REQUEST, service::onTableRequest);
        service.scheduledTasks.add(timer.after(Duration.ZERO, service::tick));
        service.scheduledTasks.add(timer.every(settings.limits().interval(), service::tick));
        service.scheduledTasks.add(timer.after(Duration.ZERO, service::readHostList));
        service.scheduledTasks.add(timer.every(settings.listInterval(), service::readHostList));
        return service;
    }

    /** The current view. */
    public MembershipView view() {
        synchronized (lock) {
            return view;
        }
    }

    /** Adds a listener for the announcements of other hosts. It runs on network threads and must not block. */
    public void addAnnouncementListener(BiConsumer<Member, RevisionAnnouncement> listener) {
        announcementListeners.add(listener);
    }

    /**
     * Adds a listener for changes of members. It must not block. Calls may arrive out of order; a listener that needs
     * the latest view reads {@link #view()}.
     */
    public void addViewListener(Consumer<MembershipView> listener) {
        viewListeners.add(listener);
    }

    /** Schedules heartbeats to all peers after a short delay, because the announcement changed. */
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

    /** Stops sending heartbeats. The handlers stay registered and still respond. */
    @Override
    public void close() {
        scheduledTasks.forEach(TimerService.ScheduledTask::cancel);
    }

    private void tick() {
        MembershipTransition transition = apply(current -> current.tick(timer.nowNanos(), announcement.get()));
        if (transition.view().table().presentCount() <= 1) {
            settings.seeds().forEach(this::joinSeed);
        }
    }

    private void flush() {
        synchronized (lock) {
            flushPending = false;
        }
        apply(current -> current.flush(timer.nowNanos(), announcement.get()));
    }

    private void readHostList() {
        if (!readsHostList.getAsBoolean()) {
            return;
        }
        hostList.current()
                .whenComplete(Handled.by(list -> list.peek(
                                members -> apply(current -> current.onHostList(members, timer.nowNanos())))
                        .peekLeft(failure -> LOG.warn("event=host_list_unread code={}", failure.code()))));
    }

    private MembershipTransition apply(Function<MembershipView, MembershipTransition> input) {
        MembershipTransition transition;
        boolean changed;
        synchronized (lock) {
            transition = input.apply(view);
            changed = transition.view().table() != view.table();
            view = transition.view();
        }
        for (OutgoingHeartbeat outgoing : transition.outgoing()) {
            send(outgoing.to().controlAddress(), outgoing.heartbeat());
        }
        transition.syncWith().ifPresent(peer -> sync(peer.controlAddress(), SYNC_ROUNDS));
        if (transition.urgent()) {
            scheduleFlush();
        }
        if (changed) {
            viewListeners.forEach(listener -> listener.accept(transition.view()));
        }
        return transition;
    }

    private void send(PeerAddress peer, Heartbeat heartbeat) {
        transport
                .call(peer, HeartbeatCodec.encode(heartbeat), settings.limits().interval())
                .whenComplete(Handled.by(result -> result.flatMap(HeartbeatCodec::decode)
                        .peek(response -> {
                            apply(current -> current.onResponse(response, timer.nowNanos()));
                            notifyAnnouncement(response);
                        })));
    }

    private void joinSeed(PeerAddress seed) {
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
                .whenComplete(Handled.by(result -> result.flatMap(HeartbeatCodec::decode)
                        .peek(response -> {
                            apply(current -> current.onResponse(response, timer.nowNanos()));
                            notifyAnnouncement(response);
                            sync(seed, SYNC_ROUNDS);
                        })));
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
                .whenComplete(Handled.by(result -> result.flatMap(HeartbeatCodec::decodeTable)
                        .peek(rumours -> {
                            MembershipTransition transition =
                                    apply(current -> current.onTable(rumours, timer.nowNanos()));
                            boolean advanced = transition.view().table().digest() != before.digest();
                            if (advanced && roundsLeft > 1) {
                                sync(peer, roundsLeft - 1);
                            }
                        })));
    }

    private CompletableFuture<Either<Failure, ControlMessage>> onHeartbeat(ControlMessage message) {
        Either<Failure, ControlMessage> response = HeartbeatCodec.decode(message)
                .map(heartbeat -> {
                    MembershipTransition transition =
                            apply(current -> current.onHeartbeat(heartbeat, timer.nowNanos(), announcement.get()));
                    notifyAnnouncement(heartbeat);
                    return HeartbeatCodec.encode(transition.reply().orElseThrow());
                });
        return CompletableFuture.completedFuture(response);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> onTableRequest(ControlMessage message) {
        List<Long> digests = message.getTableRequest().getBucketDigests();
        List<Rumour> differing =
                view().table().differing(digests == null ? List.of() : digests, MembershipView.MAX_TABLE_RUMOURS);
        return CompletableFuture.completedFuture(Either.right(HeartbeatCodec.encodeTable(differing)));
    }

    private void notifyAnnouncement(Heartbeat heartbeat) {
        if (heartbeat.announcement().revision() == 0) {
            return;
        }
        view().find(heartbeat.name())
                .ifPresent(member ->
                        announcementListeners.forEach(listener -> listener.accept(member, heartbeat.announcement())));
    }
}
