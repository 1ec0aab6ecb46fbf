package org.arbutusfield.proxy;

import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.arbutusfield.proxy.upstream.UpstreamConnection;

/**
 * Sends the body of one attempt, as it arrives and as far as the connection takes it. Confined to the request's event
 * loop.
 *
 * <p>A write costs the same however short it is, so what arrives in one turn of the event loop is sent together.
 */
final class BodySender {
    /** Less than this waits for what else arrives in the same turn. */
    private static final int MIN_BYTES_PER_WRITE = 8 << 10;

    private final RequestBody body;
    private final UpstreamConnection connection;
    private final Executor loop;
    private final Runnable demand;
    private final BooleanSupplier active;
    private boolean sending;
    private boolean scheduled;
    private boolean ended;

    private BodySender(
            RequestBody body, UpstreamConnection connection, Executor loop, Runnable demand, BooleanSupplier active) {
        this.body = body;
        this.connection = connection;
        this.loop = loop;
        this.demand = demand;
        this.active = active;
    }

    /**
     * Creates a sender.
     *
     * @param body body of the request
     * @param connection connection on which the head was sent
     * @param loop runs a task at the end of the turn of the event loop
     * @param demand requests more of the body from the caller
     * @param active false once the attempt has ended
     */
    static BodySender of(
            RequestBody body, UpstreamConnection connection, Executor loop, Runnable demand, BooleanSupplier active) {
        return new BodySender(body, connection, loop, demand, active);
    }

    /** Called when a part of the body was received: sends it, or waits for more until the turn ends. */
    void received() {
        if (body.ended() || body.unsentBytes() >= MIN_BYTES_PER_WRITE) {
            send();
            return;
        }
        if (!scheduled) {
            scheduled = true;
            loop.execute(() -> {
                scheduled = false;
                send();
            });
        }
        if (connection.writable()) {
            demand.run();
        }
    }

    /** Sends what was received while the connection is writable, then requests more from the caller. */
    void send() {
        if (!active.getAsBoolean() || ended || sending) {
            return;
        }
        sending = true;
        while (body.hasUnsent() && connection.writable()) {
            connection.sendBody(body.next());
        }
        sending = false;
        if (body.hasUnsent() || !connection.writable()) {
            return;
        }
        if (body.ended()) {
            ended = true;
            connection.endBody(LastHttpContent.EMPTY_LAST_CONTENT);
        } else {
            demand.run();
        }
    }
}
