package org.arbutusfield.reach;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/** Sends one message to all other hosts. Runs on one event loop. */
public final class HostBroadcast {
    /** Larger fleets must learn in another way, because a host can't keep a connection to each of the others. */
    public static final int MAX_HOSTS = 500;

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;

    private HostBroadcast(String self, Supplier<SteeringState> state, ControlTransport transport) {
        this.self = self;
        this.state = state;
        this.transport = transport;
    }

    /**
     * Creates the broadcast of a host.
     *
     * @param self name of this host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     */
    public static HostBroadcast of(String self, Supplier<SteeringState> state, ControlTransport transport) {
        return new HostBroadcast(self, state, transport);
    }

    /** Returns false while there are more than {@link #MAX_HOSTS}; nothing is sent then. */
    public boolean reachesAll() {
        return state.get().hosts().size() <= MAX_HOSTS;
    }

    /**
     * Sends a message to each other host.
     *
     * @param message the message
     * @param timeout timeout of each call
     * @param onResponse gets the response or failure of each host
     */
    public void send(
            ControlMessage message,
            Duration timeout,
            BiConsumer<HostEntry, Either<Failure, ControlMessage>> onResponse) {
        if (!reachesAll()) {
            return;
        }
        List<HostEntry> hosts = state.get().hosts();
        for (HostEntry host : hosts) {
            if (!host.name().equals(self)) {
                transport
                        .call(PeerAddress.parse(host.controlAddress()), message, timeout)
                        .whenComplete(Handled.by(response -> onResponse.accept(host, response)));
            }
        }
    }
}
