package org.arbutusfield.lab.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/** Carries messages between hosts in virtual time, with a delay, message loss and cut links. */
public final class VirtualNetwork {
    private static final Duration DELAY = Duration.ofMillis(5);

    private final VirtualTimer timer;
    private final SplittableRandom random;
    private final Map<PeerAddress, VirtualHost> hosts = new HashMap<>();
    private BiPredicate<VirtualHost, VirtualHost> cut = (from, to) -> false;
    private UnaryOperator<ControlMessage> tampering = message -> message;
    private double loss;

    private VirtualNetwork(VirtualTimer timer, long seed) {
        this.timer = timer;
        this.random = new SplittableRandom(seed);
    }

    /** Creates a network that loses no messages. */
    public static VirtualNetwork create(VirtualTimer timer, long seed) {
        return new VirtualNetwork(timer, seed);
    }

    /** Sets which links carry no messages. */
    public void cut(BiPredicate<VirtualHost, VirtualHost> links) {
        cut = links;
    }

    /** Sets a function that changes each response in transit. */
    public void tamper(UnaryOperator<ControlMessage> change) {
        tampering = change;
    }

    /** Sets the share of messages that are lost. */
    public void loss(double share) {
        loss = share;
    }

    /** Makes a host reachable at an address, in place of an earlier host. */
    void attach(PeerAddress address, VirtualHost host) {
        hosts.put(address, host);
    }

    /** Creates the transport by which a host calls others. */
    ControlTransport transport(VirtualHost from) {
        return (peer, message, timeout) -> {
            CompletableFuture<Either<Failure, ControlMessage>> answer = new CompletableFuture<>();
            VirtualHost to = hosts.get(peer);
            from.hostTimer().after(timeout, () -> answer.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
            if (to == null || lost(from, to)) {
                return answer;
            }
            timer.after(DELAY, () -> to.hostTimer().run(() -> deliver(from, to, message, answer)));
            return answer;
        };
    }

    private void deliver(
            VirtualHost from,
            VirtualHost to,
            ControlMessage message,
            CompletableFuture<Either<Failure, ControlMessage>> answer) {
        to.handlers().handle(message.deepCopy()).thenAccept(response -> {
            if (!lost(to, from)) {
                timer.after(DELAY, () -> from.hostTimer().run(() -> answer.complete(response.map(tampering))));
            }
        });
    }

    private boolean lost(VirtualHost from, VirtualHost to) {
        return cut.test(from, to) || (loss > 0 && random.nextDouble() < loss);
    }
}
