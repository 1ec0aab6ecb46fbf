package org.arbutusfield.state;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ConfigurationRequest;
import org.arbutusfield.wire.gen.ConfigurationResponse;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Asks other hosts for a later configuration while the store rejects this host or can't be reached.
 *
 * <p>The store may reject some hosts while it serves the operator and the others. Without another source these hosts
 * would go on to accept keys that have been removed. One host is asked at a time, a random one in each period, so a
 * store outage that concerns all hosts costs each of them one small message a period.
 *
 * <p>A configuration from another host is installed only if its version is later. It is the item as that host read it
 * from the store, so the same decoder and the same checks apply.
 *
 * <p>Runs on one event loop.
 */
public final class PeerConfiguration {
    private static final Logger LOG = LogManager.getLogger(PeerConfiguration.class);
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    /** Larger items don't fit a frame of the control channel together with its envelope. */
    private static final int MAX_VALUE_BYTES = 192 << 10;

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final ConfigurationHolder holder;
    private final TimerService timer;
    private final RandomGenerator random;
    private boolean asking;

    private PeerConfiguration(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            ConfigurationHolder holder,
            TimerService timer,
            RandomGenerator random) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.holder = holder;
        this.timer = timer;
        this.random = random;
    }

    /**
     * Starts to follow other hosts whenever the store fails.
     *
     * @param self name of this host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param watcher follows the store and holds the configuration
     * @param timer scheduler
     * @param random chooses the hosts to ask
     */
    public static PeerConfiguration start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            StoreWatcher watcher,
            TimerService timer,
            RandomGenerator random) {
        return start(self, state, transport, (ConfigurationHolder) watcher, timer, random);
    }

    static PeerConfiguration start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            ConfigurationHolder holder,
            TimerService timer,
            RandomGenerator random) {
        PeerConfiguration peers = new PeerConfiguration(self, state, transport, holder, timer, random);
        holder.onOutage(peers::storeFailed);
        return peers;
    }

    /** Registers the handler for requests of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(
                ControlMessage._Fields.CONFIGURATION_REQUEST,
                message -> CompletableFuture.completedFuture(Either.<Failure, ControlMessage>right(
                        ControlMessage.configurationResponse(answer(message.getConfigurationRequest())))));
    }

    private ConfigurationResponse answer(ConfigurationRequest request) {
        Optional<ConfigurationItem> item = holder.configuration();
        ConfigurationResponse response =
                new ConfigurationResponse(item.map(ConfigurationItem::version).orElse(0L));
        item.filter(known -> known.version() > request.getVersion())
                .filter(known -> known.value().length() <= MAX_VALUE_BYTES)
                .ifPresent(known -> {
                    response.setKey(known.key());
                    response.setValue(known.value().bytes());
                });
        return response;
    }

    private void storeFailed() {
        if (!asking) {
            asking = true;
            timer.after(PERIOD, this::askWhileStoreFails);
        }
    }

    private void askWhileStoreFails() {
        asking = holder.storeUnavailable();
        if (!asking) {
            return;
        }
        // First, so that an error of what follows doesn't end the asking.
        timer.after(PERIOD, this::askWhileStoreFails);
        List<HostEntry> others = state.get().hosts().stream()
                .filter(host -> !host.name().equals(self))
                .toList();
        if (!others.isEmpty()) {
            ask(others.get(random.nextInt(others.size())));
        }
    }

    private void ask(HostEntry host) {
        long version = holder.configuration().map(ConfigurationItem::version).orElse(0L);
        transport
                .call(
                        PeerAddress.parse(host.controlAddress()),
                        ControlMessage.configurationRequest(new ConfigurationRequest(version)),
                        TIMEOUT)
                .whenComplete(Handled.by(result -> result.peek(message -> receive(host, message))
                        .peekLeft(failure -> LOG.debug(
                                "event=configuration_not_received host={} code={}", host.name(), failure.code()))));
    }

    private void receive(HostEntry host, ControlMessage message) {
        if (!message.isSetConfigurationResponse()) {
            return;
        }
        ConfigurationResponse response = message.getConfigurationResponse();
        if (!response.isSetKey() || !response.isSetValue()) {
            return;
        }
        LOG.info("event=configuration_received host={} version={}", host.name(), response.getVersion());
        ByteBuffer value = response.bufferForValue();
        byte[] bytes = new byte[value.remaining()];
        value.get(bytes);
        holder.installFromPeer(response.getKey(), bytes);
    }
}
