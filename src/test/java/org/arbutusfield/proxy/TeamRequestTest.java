package org.arbutusfield.proxy;

import static org.arbutusfield.proxy.ProxyFixture.get;
import static org.arbutusfield.proxy.ProxyFixture.post;
import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.RawCaller.Response;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.team.Team;
import org.arbutusfield.team.TeamDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests of teams through whole proxies: what upstreams get, what is counted, and keys that are removed. */
@Timeout(60)
class TeamRequestTest {
    private static final HeaderNames NAMES = new HeaderNames(
            "x-request-deadline-ms",
            "x-not-run",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.of("x-team-name"),
            Optional.empty(),
            false);
    /** Address of a host whose connections the system would open from another one, if the host didn't choose it. */
    private static final String NEAR_IP = "127.0.0.7";

    private static final Team BLUE = new Team("blue", OptionalInt.of(0), 10, 5, Set.of());
    private static final TeamDirectory TEAMS = TeamDirectory.of(
            List.of(TeamIdentityTest.entry(BLUE, "blue-key"), TeamIdentityTest.entry("red", "red-key")));
    private static final TeamDirectory WITHOUT_BLUE =
            TeamDirectory.of(List.of(TeamIdentityTest.entry("red", "red-key")));

    private final AtomicReference<TeamDirectory> teams = new AtomicReference<>(TEAMS);
    private final AtomicInteger counted = new AtomicInteger();
    private final AtomicInteger givenBack = new AtomicInteger();
    private final Queue<PlacementRequest> placed = new ConcurrentLinkedQueue<>();
    private final Queue<SimpleHttpRequest> received = new ConcurrentLinkedQueue<>();
    private volatile Supplier<CompletableFuture<Either<Failure, TeamLimiter.Use>>> decision =
            () -> CompletableFuture.completedFuture(Either.right(givenBack::incrementAndGet));

    private ProxyFixture fixture(int upstreams) {
        ProxyFixture fixture = ProxyFixture.of(upstreams, 64, this::withTeams);
        fixture.upstreams.forEach(upstream -> upstream.injectFaults((request, n) -> {
            received.add(request);
            return Fault.NONE;
        }));
        return fixture;
    }

    private ProxyComponents withTeams(ProxyComponents components) {
        Placement placement = components.placement();
        return components
                .withTeams(
                        teams::get,
                        (team, maxWait) -> {
                            counted.incrementAndGet();
                            return decision.get();
                        },
                        NAMES)
                .withPlacement(request -> {
                    placed.add(request);
                    return placement.place(request);
                });
    }

    /** Adds header lines, each with its end, to a request. */
    private static String with(String request, String lines) {
        return request.replace("host: x\r\n", "host: x\r\n" + lines);
    }

    private static String blue(String request) {
        return with(request, "authorization: Bearer blue-key\r\n");
    }

    private List<String> receivedValues(String name) {
        return received.remove().headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(field -> field.value())
                .toList();
    }

    /** Guards against a key that leaves the host, and a team that the caller states. */
    @Test
    void upstreamGetsTheTeamAndNotTheKey() {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            String forged = String.join(
                    "\r\n",
                    "X-Team-Name: red",
                    "x-TEAM-name: red, red",
                    "x-arbutus-team: red",
                    "connection: x-team-name",
                    "");
            assertThat(caller.call(with(blue(get("/desk/a", "a")), forged)).status())
                    .isEqualTo(200);
            SimpleHttpRequest sent = received.peek();
            assertThat(sent.header("authorization")).isEmpty();
            assertThat(sent.header("x-arbutus-team")).isEmpty();
            assertThat(receivedValues("x-team-name")).containsExactly("blue");
            PlacementRequest request = placed.remove();
            assertThat(request.team()).contains(BLUE);
            assertThat(request.rank()).isZero();
            assertThat(counted).hasValue(1);
            assertThat(givenBack).hasValue(0);
        }
    }

    /** Guards against requests that are changed on deployments without teams. */
    @Test
    void withoutTeamsFieldsPassUnchanged() {
        teams.set(TeamDirectory.empty());
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            String lines = "authorization: Basic x\r\nx-team-name: red\r\nx-arbutus-team: green\r\n";
            assertThat(caller.call(with(get("/desk/a", "a"), lines)).status()).isEqualTo(200);
            SimpleHttpRequest sent = received.remove();
            assertThat(sent.header("authorization")).contains("Basic x");
            assertThat(sent.header("x-team-name")).contains("red");
            assertThat(sent.header("x-arbutus-team")).contains("green");
            assertThat(counted).hasValue(0);
        }
    }

    /** Guards against a caller who gets the rights of a host by stating that it forwards. */
    @Test
    void hopFieldOfACallerIsIgnoredWithTeams() {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            String forged = "x-arbutus-hop: 7\r\nx-arbutus-team: red\r\n";
            assertThat(caller.call(with(blue(get("/desk/a", "a")), forged)).status())
                    .isEqualTo(200);
            assertThat(placed.remove().hops()).isZero();
            assertThat(receivedValues("x-team-name")).containsExactly("blue");
            assertThat(counted).hasValue(1);
            assertThat(caller.call(with(get("/desk/a", "b"), forged)).status()).isEqualTo(401);
            teams.set(TeamDirectory.empty());
            Response withoutTeams = caller.call(with(get("/desk/a", "c"), forged));
            assertThat(withoutTeams.code()).isEqualTo("NO_UPSTREAM");
        }
    }

    /** Guards against a refusal without its reason, or with the key in it. */
    @Test
    void requestWithoutAKnownKeyIsRefused() {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            Response response = caller.call(with(get("/desk/a", "a"), "authorization: Bearer s3cret\r\n"));
            assertThat(response.status()).isEqualTo(401);
            assertThat(response.code()).isEqualTo("KEY_UNKNOWN");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(response.header("www-authenticate")).isEqualTo("Bearer");
            assertThat(response.text() + response.headers()).doesNotContain("s3cret");
            assertThat(fixture.runs("a")).isZero();
            assertThat(caller.call(blue(get("/desk/a", "b"))).status()).isEqualTo(200);
        }
    }

    /** Guards against an open route that needs a key, or believes a caller's team. */
    @Test
    void openRouteNeedsNoKey() {
        Route route = new Route(
                "r",
                "x",
                "/",
                true,
                false,
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                3,
                2,
                Set.of(),
                false,
                List.of(new WeightedService("desk", 1)),
                true,
                false);
        try (ProxyFixture fixture = ProxyFixture.of(1, 64, components -> {
                    Router router = components.router();
                    ProxyComponents base = withTeams(components);
                    return base.withRouter((request, id) -> router.route(request, id)
                            .map(match -> new RouteMatch(
                                    match.service(),
                                    match.requestClass(),
                                    match.target(),
                                    match.path(),
                                    Optional.of(route))));
                });
                RawCaller caller = fixture.caller()) {
            fixture.upstream().injectFaults((request, n) -> {
                received.add(request);
                return Fault.NONE;
            });
            String wrong = "authorization: Bearer wrong\r\nx-team-name: red\r\n";
            assertThat(caller.call(with(get("/desk/a", "a"), wrong)).status()).isEqualTo(200);
            assertThat(received.peek().header("authorization")).isEmpty();
            assertThat(receivedValues("x-team-name")).isEmpty();
            assertThat(placed.remove().rank()).isEqualTo(3);
            assertThat(caller.call(blue(get("/desk/a", "b"))).status()).isEqualTo(200);
            assertThat(receivedValues("x-team-name")).containsExactly("blue");
            assertThat(placed.remove().rank()).isZero();
            // A key removed while its request waits makes no difference but that the team isn't named.
            String waiting = with(blue(post("/desk/a", "c", "hall")), "expect: 100-continue\r\n");
            caller.send(waiting.substring(0, waiting.length() - 4));
            assertThat(caller.read(false).status()).isEqualTo(100);
            teams.set(WITHOUT_BLUE);
            assertThat(caller.call("hall").status()).isEqualTo(200);
            assertThat(received.peek().header("authorization")).isEmpty();
            assertThat(receivedValues("x-team-name")).isEmpty();
        }
    }

    /** Guards against a key that goes on working on connections that were open when it was removed. */
    @Test
    void removedKeyEndsOnOpenConnections() {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            assertThat(caller.call(blue(get("/desk/a", "a"))).status()).isEqualTo(200);
            teams.set(WITHOUT_BLUE);
            assertThat(caller.call(blue(get("/desk/a", "b"))).status()).isEqualTo(401);
            assertThat(fixture.runs("b")).isZero();
        }
    }

    /** Guards against a request that was identified, then waited, and runs with a removed key. */
    @Test
    void keyRemovedWhileARequestWaitsForItsBody() {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            String request = with(blue(post("/desk/book/1", "a", "hall")), "expect: 100-continue\r\n");
            caller.send(request.substring(0, request.length() - 4));
            // The interim response shows that the head has been identified.
            assertThat(caller.read(false).status()).isEqualTo(100);
            teams.set(WITHOUT_BLUE);
            assertThat(caller.call("hall").code()).isEqualTo("KEY_UNKNOWN");
            assertThat(fixture.runs("a")).isZero();
            assertThat(counted).hasValue(0);
        }
    }

    /** Guards against a pipelined request that runs with a key removed while it waited, and a count that is kept. */
    @Test
    void keyRemovedWhileRequestsWaitToBeCounted() throws InterruptedException {
        CompletableFuture<Either<Failure, TeamLimiter.Use>> pending = new CompletableFuture<>();
        CompletableFuture<Void> asked = new CompletableFuture<>();
        decision = () -> {
            asked.complete(null);
            return pending;
        };
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            caller.send(blue(post("/desk/book/1", "a", "")) + blue(post("/desk/book/1", "b", "")));
            asked.join();
            teams.set(WITHOUT_BLUE);
            pending.complete(Either.right(givenBack::incrementAndGet));
            assertThat(caller.read(false).code()).isEqualTo("KEY_UNKNOWN");
            assertThat(caller.read(false).code()).isEqualTo("KEY_UNKNOWN");
            fixture.nextRecord();
            assertThat(fixture.runs("a") + fixture.runs("b")).isZero();
            assertThat(counted).hasValue(1);
            assertThat(givenBack).hasValue(1);
        }
    }

    /** Guards against a retry with a removed key; the request reached an upstream, so its count stays. */
    @Test
    void keyRemovedBeforeARetry() {
        try (ProxyFixture fixture = ProxyFixture.of(2, 64, this::withTeams);
                RawCaller caller = fixture.caller()) {
            fixture.upstreams.forEach(upstream -> upstream.injectFaults((request, n) -> {
                teams.set(WITHOUT_BLUE);
                return Fault.SHED;
            }));
            Response response = caller.call(blue(get("/desk/a", "a")));
            assertThat(response.code()).isEqualTo("KEY_UNKNOWN");
            assertThat(response.statesNotRun()).isTrue();
            assertThat(counted).hasValue(1);
            assertThat(givenBack).hasValue(0);
        }
    }

    /** Guards against a request that is counted with each attempt. */
    @Test
    void retriedRequestIsCountedOnce() {
        try (ProxyFixture fixture = ProxyFixture.of(2, 64, this::withTeams);
                RawCaller caller = fixture.caller()) {
            fixture.faultOnce(Fault.SHED);
            assertThat(caller.call(blue(get("/desk/a", "a"))).status()).isEqualTo(200);
            assertThat(placed).hasSize(2);
            assertThat(counted).hasValue(1);
            assertThat(givenBack).hasValue(0);
        }
    }

    /** Guards against a count that is kept although no upstream was reached. */
    @Test
    void countOfARequestThatReachedNoUpstreamIsGivenBack() throws InterruptedException {
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            fixture.upstream().close();
            assertThat(caller.call(blue(get("/desk/a", "a"))).status()).isEqualTo(503);
            fixture.nextRecord();
            assertThat(counted).hasValue(1);
            assertThat(givenBack).hasValue(1);
        }
    }

    /** Guards against a refusal of the limiter that loses its status or its time. */
    @Test
    void refusalOfTheLimiterIsTheResponse() {
        decision = () -> CompletableFuture.completedFuture(
                Either.left(Failure.of(ErrorCode.TEAM_LIMIT, "blue").withRetryAfter(Duration.ofSeconds(3))));
        try (ProxyFixture fixture = fixture(1);
                RawCaller caller = fixture.caller()) {
            Response limited = caller.call(blue(get("/desk/a", "a")));
            assertThat(limited.status()).isEqualTo(429);
            assertThat(limited.header("retry-after")).isEqualTo("3");
            assertThat(limited.statesNotRun()).isTrue();
            decision = () -> CompletableFuture.failedFuture(new IllegalStateException("test"));
            Response failed = caller.call(blue(get("/desk/a", "b")));
            assertThat(failed.status()).isEqualTo(503);
            assertThat(failed.code()).isEqualTo("TEAM_SHARE_UNAVAILABLE");
            assertThat(failed.header("retry-after")).isNotNull();
            assertThat(caller.call(with(get("/desk/a", "c"), "authorization: Bearer red-key\r\n"))
                            .status())
                    .isEqualTo(200);
            assertThat(counted).hasValue(2);
        }
    }

    /**
     * Guards against a forwarded request that comes from an unknown address, is counted twice, or sent with the key.
     */
    @Test
    void forwardedRequestIsIdentifiedAndCountedOnce() {
        try (ProxyFixture far = ProxyFixture.of(
                1,
                64,
                components -> withTeams(components)
                        .withPeers(address -> address.getHostAddress().equals(NEAR_IP)))) {
            far.upstream().injectFaults((request, n) -> {
                received.add(request);
                return Fault.NONE;
            });
            AtomicInteger countedNear = new AtomicInteger();
            ProxyServer near = near(far, countedNear);
            try (RawCaller caller = RawCaller.connect(near.address())) {
                String forged = "x-arbutus-team: red\r\nx-team-name: red\r\n";
                assertThat(caller.call(with(blue(get("/desk/a", "a")), forged)).status())
                        .isEqualTo(200);
                assertThat(received.peek().header("authorization")).isEmpty();
                assertThat(received.peek().header("x-arbutus-team")).isEmpty();
                assertThat(receivedValues("x-team-name")).containsExactly("blue");
                assertThat(placed.remove().hops()).isEqualTo(1);
                assertThat(countedNear).hasValue(1);
                assertThat(counted).hasValue(0);
            }
            near.close();
        }
    }

    /** A host that doesn't know the sender as a host must not make the caller believe that its key is wrong. */
    @Test
    void refusalByAHostThatDoesNotKnowTheSenderIsNoRefusalOfTheKey() {
        try (ProxyFixture far = fixture(1)) {
            AtomicInteger countedNear = new AtomicInteger();
            ProxyServer near = near(far, countedNear);
            try (RawCaller caller = RawCaller.connect(near.address())) {
                Response response = caller.call(blue(get("/desk/a", "a")));
                assertThat(response.status()).isEqualTo(503);
                assertThat(response.code()).isEqualTo("HOST_BUSY");
                assertThat(response.statesNotRun()).isTrue();
            }
            near.close();
        }
    }

    private ProxyServer near(ProxyFixture far, AtomicInteger countedNear) {
        InetSocketAddress address = far.server.address();
        ProxyComponents components = ProxyComponents.of("piedmont", () -> far.configuration)
                .withTeams(
                        teams::get,
                        (team, maxWait) -> {
                            countedNear.incrementAndGet();
                            return CompletableFuture.completedFuture(Either.right(() -> {}));
                        },
                        NAMES)
                .withPlacement(request -> CompletableFuture.completedFuture(
                        request.tried().isEmpty()
                                ? Either.right(new PlacementTarget.HostTarget("far", address, Permit.NONE))
                                : Either.left(Failure.of(ErrorCode.NO_UPSTREAM))));
        return ProxyServer.bind(far.group, new InetSocketAddress(NEAR_IP, 0), components)
                .get();
    }

    /** Guards against a key or a forged team that passes in the trailer of a chunked request. */
    @Test
    void trailersArePassedToNobody() throws IOException {
        CompletableFuture<String> sent = new CompletableFuture<>();
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(ProxyFixture.ANY_PORT);
            Thread server = new Thread(() -> answerOneChunkedRequest(socket, sent));
            server.setDaemon(true);
            server.start();
            Upstream upstream = new Upstream("u", "desk", "gulf-a", "127.0.0.1", socket.getLocalPort(), 64, 64);
            try (ProxyFixture fixture = ProxyFixture.of(
                            0,
                            64,
                            components -> withTeams(components)
                                    .withPlacement(request -> CompletableFuture.completedFuture(
                                            Either.right(new PlacementTarget.UpstreamTarget(upstream, Permit.NONE)))));
                    RawCaller caller = fixture.caller()) {
                String request = String.join(
                        "\r\n",
                        "POST /desk/book/1 HTTP/1.1",
                        "host: x",
                        "authorization: Bearer blue-key",
                        "trailer: x-team-name",
                        "transfer-encoding: chunked",
                        "",
                        "4",
                        "hall",
                        "0",
                        "X-Team-Name: red",
                        "authorization: Bearer red-key",
                        "x-arbutus-team: red",
                        "",
                        "");
                assertThat(caller.call(request).status()).isEqualTo(200);
            }
        }
        assertThat(sent.join()).contains("x-team-name: blue", "hall").doesNotContain("red", "blue-key");
    }

    private static void answerOneChunkedRequest(ServerSocket socket, CompletableFuture<String> sent) {
        try (Socket connection = socket.accept()) {
            InputStream in = connection.getInputStream();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            String text = "";
            while (!(text.contains("\r\n0\r\n") && text.endsWith("\r\n\r\n"))) {
                bytes.write(in.read());
                text = bytes.toString(StandardCharsets.ISO_8859_1);
            }
            sent.complete(text);
            connection
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            connection.getOutputStream().flush();
            in.read();
        } catch (IOException e) {
            sent.completeExceptionally(e);
        }
    }
}
