package org.arbutusfield.proxy;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;
import org.arbutusfield.http.HttpCaller;
import org.arbutusfield.http.HttpListener;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;

/** The callers' port: forwards {@code /service/rest} to the least loaded upstream of the service. */
public final class EntryServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpCaller caller;
    private final String region;
    private final Supplier<Configuration> running;
    private final Map<String, AtomicInteger> inFlightByUpstream = new ConcurrentHashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private HttpListener listener;

    private EntryServer(HttpCaller caller, String region, Supplier<Configuration> running) {
        this.caller = caller;
        this.region = region;
        this.running = running;
    }

    /** Opens the callers' port. */
    public static Either<Failure, EntryServer> bind(
            EventLoopGroup group, InetSocketAddress address, String region, Supplier<Configuration> running) {
        EntryServer server = new EntryServer(HttpCaller.create(group, CONNECT_TIMEOUT), region, running);
        return HttpListener.bind(group, address, MAX_BODY_BYTES, server::answer).map(bound -> {
            server.listener = bound;
            return server;
        });
    }

    /** Takes no new connections. */
    public void stopAccepting() {
        listener.close();
    }

    /** Requests taken and not yet answered. */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletableFuture<HttpAnswer> answer(HttpCall call) {
        String[] parts = call.path().split("/", 3);
        Configuration configuration = running.get();
        Optional<Service> service = parts.length < 2 ? Optional.empty() : configuration.service(parts[1]);
        if (service.isEmpty()) {
            ErrorCode code = configuration.revision() == 0 ? ErrorCode.NO_CONFIGURATION : ErrorCode.SERVICE_UNKNOWN;
            return CompletableFuture.completedFuture(HttpAnswer.problem(Failure.of(code, call.path())));
        }
        Optional<Upstream> upstream = choose(configuration, service.get());
        if (upstream.isEmpty()) {
            return CompletableFuture.completedFuture(HttpAnswer.problem(
                    Failure.of(ErrorCode.NO_UPSTREAM, service.get().name())));
        }
        String rest = call.target().substring(parts[1].length() + 1);
        return forward(call, rest.isEmpty() ? "/" : rest, service.get(), upstream.get());
    }

    private CompletableFuture<HttpAnswer> forward(HttpCall call, String target, Service service, Upstream upstream) {
        Duration deadline = service.classOf(call.method(), target)
                .map(RequestClass::deadlineMillis)
                .map(Duration::ofMillis)
                .orElse(Duration.ofSeconds(10));
        AtomicInteger count = counter(upstream);
        count.incrementAndGet();
        inFlight.incrementAndGet();
        HttpCall onward = new HttpCall(call.method(), target, List.of(), call.body());
        return caller.call(new InetSocketAddress(upstream.host(), upstream.port()), onward, deadline)
                .thenApply(result -> {
                    count.decrementAndGet();
                    inFlight.decrementAndGet();
                    return result.fold(failure -> HttpAnswer.problem(upstreamFailure(failure, upstream)), a -> a);
                });
    }

    private static Failure upstreamFailure(Failure failure, Upstream upstream) {
        return switch (failure.code()) {
            case PEER_UNREACHABLE -> Failure.of(ErrorCode.UPSTREAM_CONNECT, upstream.name());
            case PEER_TIMEOUT -> Failure.of(ErrorCode.UPSTREAM_TIMEOUT, upstream.name());
            default -> Failure.of(ErrorCode.UPSTREAM_LOST, upstream.name(), failure.detail());
        };
    }

    private Optional<Upstream> choose(Configuration configuration, Service service) {
        return configuration.upstreams(service.name()).stream()
                .filter(upstream -> !configuration.drained(upstream))
                .min(Comparator.comparing(
                                (Upstream u) -> !configuration.regionOf(u).equals(Optional.of(region)))
                        .thenComparing(u -> (double) counter(u).get() / u.slots()));
    }

    private AtomicInteger counter(Upstream upstream) {
        return inFlightByUpstream.computeIfAbsent(upstream.name(), name -> new AtomicInteger());
    }
}
