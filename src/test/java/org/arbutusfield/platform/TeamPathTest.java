package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.SystemTimer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Keys and teams of the operator's configuration at a whole host, over sockets. */
class TeamPathTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final String KEY = "s3cret-key-of-blue";
    private static final long PAUSE_NANOS = 25_000_000;

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final HttpClient client = HttpClient.create(group, Duration.ofSeconds(1));
    private final KeyValueStandIn store =
            KeyValueStandIn.bind(group, ANY, timer).get();
    private final StartedHost started = StartedHost.start(group, "edge-1", store.address());
    private final Queue<SimpleHttpRequest> received = new ConcurrentLinkedQueue<>();
    private final LogLines log = LogLines.attach();

    /** Collects the log lines of the whole process. */
    private static final class LogLines extends AbstractAppender {
        private final Queue<String> lines = new ConcurrentLinkedQueue<>();

        private LogLines() {
            super("test", null, null, false, Property.EMPTY_ARRAY);
        }

        static LogLines attach() {
            LogLines log = new LogLines();
            log.start();
            LoggerContext context = (LoggerContext) LogManager.getContext(false);
            context.getConfiguration().getRootLogger().addAppender(log, null, null);
            context.updateLoggers();
            return log;
        }

        private void end() {
            LoggerContext context = (LoggerContext) LogManager.getContext(false);
            context.getConfiguration().getRootLogger().removeAppender(getName());
            context.updateLoggers();
        }

        @Override
        public void append(LogEvent event) {
            lines.add(event.getMessage().getFormattedMessage());
        }
    }

    @AfterEach
    void stop() {
        log.end();
        started.host().close();
        store.close();
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void startUpstream() {
        HttpServer upstream = HttpServer.bind(group, ANY, 1 << 20, request -> {
                    received.add(request);
                    return CompletableFuture.completedFuture(new SimpleHttpResponse(
                            200,
                            List.of(
                                    Header.of("x-server-seal", "s"),
                                    Header.of(
                                            "x-request-id",
                                            request.header("x-request-id").orElse(""))),
                            Body.of("done")));
                })
                .get();
        String entry = PlatformItemDecoderTest.SERVER
                .replace("10.128.0.9:8080", Addresses.format(upstream.address()))
                .replace("1500ms", "0ms");
        store.content().put("servers/i-1", entry.getBytes(StandardCharsets.UTF_8), 0);
    }

    private void configure(int version, String keys) {
        String rule = """
                {"name":"%s","route_type":"idempotent","target_latency":"600ms","priority":1,"public":%s,
                "match":{"prefix":"%s"},"action":{"service":"desk","timeout":"2s","attempts":2}}""";
        String text = """
                {"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout":"3s",
                "idle_timeout":"15s"},"listeners":[{"host":"a.example","policy":[%s,%s]}],
                "upstreams":[{"name":"desk","health_path":"/health","max_connections":660}],
                "tenants":[{"name":"blue","api_keys":[%s],"rate_per_s":50,"burst":5}]}""".formatted(
                version, rule.formatted("closed", "false", "/p/"), rule.formatted("open", "true", "/open/"), keys);
        store.content().put("op/config", text.getBytes(StandardCharsets.UTF_8), 0);
    }

    private SimpleHttpResponse call(String target, Header... more) {
        List<Header> headers = Stream.concat(Stream.of(Header.of("Host", "a.example")), Arrays.stream(more))
                .toList();
        return client.call(
                        started.settings().callerAddress(),
                        new SimpleHttpRequest("GET", target, headers, Body.empty()),
                        TIMEOUT)
                .join()
                .get();
    }

    private SimpleHttpResponse withKey(String target) {
        return call(target, Header.of("Authorization", "Bearer " + KEY));
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    /** Guards against a host that lets requests through before it knows the keys, or after they were removed. */
    @Test
    @Timeout(60)
    void keysOfTheConfigurationInForceCount() {
        assertThat(withKey("/p/1").header("x-error-code")).contains("NO_CONFIGURATION");
        startUpstream();
        configure(2, "\"" + KEY + "\"");
        await(() -> withKey("/p/1").status() == 200);
        received.clear();

        assertThat(withKey("/p/1").status()).isEqualTo(200);
        SimpleHttpRequest sent = received.remove();
        assertThat(sent.header("x-tenant-name")).contains("blue");
        assertThat(sent.header("authorization")).isEmpty();
        assertThat(call("/p/1").status()).isEqualTo(401);
        assertThat(call("/open/1", Header.of("X-Tenant-Name", "blue")).status()).isEqualTo(200);
        assertThat(received.remove().header("x-tenant-name")).isEmpty();

        // The address of this caller is that of a registered host, the host itself, as soon as that knows its entry.
        Header hop = Header.of("x-arbutus-hop", "1");
        await(() -> call("/p/1", hop).header("x-error-code").equals(Optional.of("HOST_BUSY")));
        assertThat(call("/p/1", hop, Header.of("x-arbutus-team", "blue")).status())
                .isEqualTo(200);
        assertThat(received.remove().header("x-tenant-name")).contains("blue");

        configure(3, "\"other\"");
        await(() -> withKey("/p/1").status() == 401);
        SimpleHttpResponse refused = withKey("/p/1");
        assertThat(refused.header("x-error-code")).contains("KEY_UNKNOWN");
        assertThat(refused.text()).doesNotContain(KEY);
        await(() -> log.lines.stream().anyMatch(line -> line.contains("code=KEY_UNKNOWN")));
        assertThat(log.lines).noneMatch(line -> line.contains(KEY));
    }
}
