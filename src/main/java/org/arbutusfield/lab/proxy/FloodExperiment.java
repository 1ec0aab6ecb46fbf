package org.arbutusfield.lab.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.ProxyComponents;
import org.arbutusfield.proxy.ProxyServer;
import org.arbutusfield.timer.SystemTimer;

/**
 * Measures how long other callers wait at a host, with one event loop, while some connections send bytes without end.
 * Arguments: the number of floods, 27 by default, and the kinds of flood, all by default. Prints one line for each.
 */
public final class FloodExperiment implements AutoCloseable {
    private static final int DEFAULT_FLOODS = 27;
    private static final int OTHER_CALLERS = 6;
    private static final int BACKLOG = 256;
    private static final int SLOTS = 64;
    private static final long DEADLINE_MILLIS = 4_000;
    private static final Duration DURATION = Duration.ofSeconds(4);
    private static final Duration WORK = Duration.ofMillis(1);
    private static final int WRITE_BYTES = 32 << 10;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final FloodKind kind;
    private final EventLoopGroup hostLoop = new NioEventLoopGroup(1);
    private final EventLoopGroup upstreamLoop = new NioEventLoopGroup(1);
    private final SystemTimer timer = SystemTimer.start();
    private final ServerSocket floodListener;
    private final UpstreamStandIn healthy;
    private final ProxyServer host;
    private final Histogram answers = new ConcurrentHistogram(3);
    private volatile boolean ends;

    private FloodExperiment(FloodKind kind) throws IOException {
        this.kind = kind;
        floodListener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        healthy = UpstreamStandIn.bind(upstreamLoop, ANY_PORT, "healthy", SLOTS, WORK, timer)
                .get();
        Configuration configuration = Configuration.of(
                1,
                "n",
                List.of(
                        new Region("region", 1),
                        new FailureDomain("domain", "region"),
                        service("desk"),
                        service("flood"),
                        upstream("healthy", "desk", healthy.address().getPort()),
                        upstream("flood", "flood", floodListener.getLocalPort())));
        host = ProxyServer.bind(hostLoop, ANY_PORT, ProxyComponents.of("region", () -> configuration))
                .get();
        start(this::acceptFloods);
    }

    /** Runs all kinds of flood, one after the other. */
    public static void main(String[] args) throws Exception {
        int floods = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_FLOODS;
        List<FloodKind> kinds = args.length > 1
                ? Arrays.stream(args).skip(1).map(FloodKind::valueOf).toList()
                : List.of(FloodKind.values());
        for (FloodKind kind : kinds) {
            try (FloodExperiment experiment = new FloodExperiment(kind)) {
                experiment.run(floods);
            }
        }
    }

    private static Service service(String name) {
        return new Service(
                name,
                1,
                1,
                0,
                List.of(new RequestClass("read", List.of(), "", true, true, DEADLINE_MILLIS)),
                List.of());
    }

    private static Upstream upstream(String name, String service, int port) {
        return new Upstream(name, service, "domain", "127.0.0.1", port, SLOTS, SLOTS);
    }

    private void run(int floods) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < OTHER_CALLERS; i++) {
            callers.add(start(this::callHealthy));
        }
        TimeUnit.MILLISECONDS.sleep(DURATION.toMillis() / 4);
        answers.reset();
        for (int i = 0; i < floods && kind != FloodKind.NONE; i++) {
            start(kind.side() == FloodKind.Side.UPSTREAM ? this::callFlood : this::sendFlood);
        }
        TimeUnit.MILLISECONDS.sleep(DURATION.toMillis());
        ends = true;
        for (Thread caller : callers) {
            caller.join(DURATION.toMillis());
        }
        System.out.printf(
                "flood=%s floods=%d answers=%d median_ms=%.1f p99_ms=%.1f longest_ms=%.1f%n",
                kind,
                floods,
                answers.getTotalCount(),
                answers.getValueAtPercentile(50) / NANOS_PER_MILLI,
                answers.getValueAtPercentile(99) / NANOS_PER_MILLI,
                answers.getMaxValue() / NANOS_PER_MILLI);
    }

    private void callHealthy() throws IOException {
        try (BlockingCaller caller = BlockingCaller.connect(host.address())) {
            while (!ends) {
                long startNanos = System.nanoTime();
                caller.call("/desk/x");
                answers.recordValue(System.nanoTime() - startNanos);
            }
        }
    }

    private void callFlood() throws IOException {
        while (!ends) {
            try (Socket socket =
                    new Socket(host.address().getAddress(), host.address().getPort())) {
                write(socket, "GET /flood/x HTTP/1.1\r\nhost: x\r\n\r\n");
                drain(socket);
            }
        }
    }

    private void sendFlood() throws IOException {
        while (!ends) {
            try (Socket socket =
                    new Socket(host.address().getAddress(), host.address().getPort())) {
                start(() -> drain(socket));
                flood(socket);
            }
        }
    }

    private void acceptFloods() throws IOException {
        while (true) {
            Socket socket = floodListener.accept();
            start(() -> {
                try (socket) {
                    flood(socket);
                }
            });
        }
    }

    /** Writes until the peer closes or the experiment ends. */
    private void flood(Socket socket) throws IOException {
        write(socket, kind.start());
        byte[] repeated = kind.repeated()
                .repeat(WRITE_BYTES / Math.max(1, kind.repeated().length()))
                .getBytes(StandardCharsets.US_ASCII);
        OutputStream out = socket.getOutputStream();
        while (!ends && repeated.length > 0) {
            out.write(repeated);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void drain(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[WRITE_BYTES];
        int read = 0;
        while (!ends && read >= 0) {
            read = in.read(buffer);
        }
    }

    /** A task of a thread that ends with its connection. */
    @FunctionalInterface
    private interface ConnectionTask {
        void run() throws IOException;
    }

    private static Thread start(ConnectionTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The host or the experiment has closed the connection.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        ends = true;
        floodListener.close();
        host.close();
        healthy.close();
        timer.close();
        hostLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        upstreamLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
