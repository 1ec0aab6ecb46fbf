package org.arbutusfield.lab;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;
import org.arbutusfield.http.HttpListener;
import org.arbutusfield.timer.TimerService;

/**
 * A server of a service with a fixed number of slots. It sheds with 503 and {@code x-not-run: true} when all are busy,
 * and otherwise answers after its service time with the request's method, path and body.
 */
public final class UpstreamStandIn implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final String name;
    private final int slots;
    private final Duration serviceTime;
    private final TimerService timer;
    private final AtomicInteger busy = new AtomicInteger();
    private HttpListener listener;

    private UpstreamStandIn(String name, int slots, Duration serviceTime, TimerService timer) {
        this.name = name;
        this.slots = slots;
        this.serviceTime = serviceTime;
        this.timer = timer;
    }

    /** Starts a server on the address. */
    public static Either<Failure, UpstreamStandIn> bind(
            EventLoopGroup group,
            InetSocketAddress address,
            String name,
            int slots,
            Duration serviceTime,
            TimerService timer) {
        UpstreamStandIn server = new UpstreamStandIn(name, slots, serviceTime, timer);
        return HttpListener.bind(group, address, MAX_BODY_BYTES, server::handle).map(bound -> {
            server.listener = bound;
            return server;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return listener.address();
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletableFuture<HttpAnswer> handle(HttpCall call) {
        if (busy.incrementAndGet() > slots) {
            busy.decrementAndGet();
            HttpAnswer shed = HttpAnswer.text(503, "no free slot\n");
            return CompletableFuture.completedFuture(
                    new HttpAnswer(shed.status(), List.of(Header.of("x-not-run", "true")), shed.body()));
        }
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        timer.after(serviceTime, () -> {
            busy.decrementAndGet();
            answer.complete(
                    HttpAnswer.text(200, name + " " + call.method() + " " + call.target() + "\n" + call.text()));
        });
        return answer;
    }
}
