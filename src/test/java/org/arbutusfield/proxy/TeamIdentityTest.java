package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.team.KeyDigester;
import org.arbutusfield.team.Team;
import org.arbutusfield.team.TeamDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Request heads and the team that each of them identifies. */
class TeamIdentityTest {
    private static final String LONG_KEY = "k".repeat(8 << 10);
    private static final TeamDirectory TEAMS = TeamDirectory.of(List.of(
            entry("blue", "blue-key", LONG_KEY), entry("red", "blue-key-2", "\u00e9\u00ff"), entry("green", "a b")));

    /** Creates a team without a limit whose keys have the bytes of the texts, as a head's decoder reads them. */
    static TeamDirectory.Entry entry(String name, String... keys) {
        return entry(new Team(name, OptionalInt.empty(), 0, 0, Set.of()), keys);
    }

    static TeamDirectory.Entry entry(Team team, String... keys) {
        return new TeamDirectory.Entry(
                team,
                Stream.of(keys)
                        .map(key -> KeyDigester.ofProcess().digest(key.getBytes(StandardCharsets.ISO_8859_1)))
                        .toList());
    }

    /** Makes header fields of names and values in turn. */
    private static HttpHeaders headers(String... fields) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (int i = 0; i < fields.length; i += 2) {
            headers.add(fields[i], fields[i + 1]);
        }
        return headers;
    }

    private static String identify(boolean fromHost, boolean open, TeamDirectory teams, HttpHeaders headers) {
        Either<Failure, TeamIdentity> identity =
                TeamIdentity.of(TeamCredentials.read(headers, () -> fromHost), open, teams);
        return identity.fold(
                failure -> failure.code().name(),
                known -> known.team().map(Team::name).orElse("none"));
    }

    static Stream<Arguments> callersHeads() {
        String a = "authorization";
        return Stream.of(
                Arguments.of("valid", headers(a, "Bearer blue-key"), "blue"),
                Arguments.of("field name in other case", headers("AUTHORIZATION", "Bearer blue-key"), "blue"),
                Arguments.of("scheme in other case", headers(a, "bEARER blue-key"), "blue"),
                Arguments.of("more spaces after the scheme", headers(a, "Bearer   blue-key"), "blue"),
                Arguments.of("key that begins with another", headers(a, "Bearer blue-key-2"), "red"),
                Arguments.of("key of 8 KB", headers(a, "Bearer " + LONG_KEY), "blue"),
                Arguments.of("bytes above 127", headers(a, "Bearer \u00e9\u00ff"), "red"),
                Arguments.of("key with a space", headers(a, "Bearer a b"), "green"),
                Arguments.of("no field", headers(), "KEY_UNKNOWN"),
                Arguments.of("empty field", headers(a, ""), "KEY_UNKNOWN"),
                Arguments.of("no key", headers(a, "Bearer"), "KEY_UNKNOWN"),
                Arguments.of("only spaces", headers(a, "Bearer  "), "KEY_UNKNOWN"),
                Arguments.of("no space", headers(a, "Bearerblue-key"), "KEY_UNKNOWN"),
                Arguments.of("a tab for the space", headers(a, "Bearer\tblue-key"), "KEY_UNKNOWN"),
                Arguments.of("key alone", headers(a, "blue-key"), "KEY_UNKNOWN"),
                Arguments.of("other scheme", headers(a, "Basic blue-key"), "KEY_UNKNOWN"),
                Arguments.of("key in other case", headers(a, "Bearer Blue-key"), "KEY_UNKNOWN"),
                Arguments.of("beginning of a key", headers(a, "Bearer blue-ke"), "KEY_UNKNOWN"),
                Arguments.of("a byte too many", headers(a, "Bearer " + LONG_KEY + "k"), "KEY_UNKNOWN"),
                Arguments.of("no byte", headers(a, "Bearer \u0101lue-key"), "KEY_UNKNOWN"),
                Arguments.of("the field twice", headers(a, "Bearer blue-key", a, "Bearer blue-key"), "KEY_UNKNOWN"),
                Arguments.of("two keys in a field", headers(a, "Bearer blue-key, Bearer blue-key"), "KEY_UNKNOWN"),
                Arguments.of(
                        "forged fields of hosts",
                        headers("x-arbutus-hop", "1", "x-arbutus-team", "blue"),
                        "KEY_UNKNOWN"),
                Arguments.of("forged team", headers(a, "Bearer blue-key-2", "x-arbutus-team", "blue"), "red"));
    }

    /** Guards against a head that is taken for one of another team, or of a team at all. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("callersHeads")
    void callerIsIdentifiedByItsKeyAlone(String what, HttpHeaders headers, String expected) {
        assertThat(identify(false, false, TEAMS, headers)).isEqualTo(expected);
        String onOpenRoute = expected.equals("KEY_UNKNOWN") ? "none" : expected;
        assertThat(identify(false, true, TEAMS, headers)).isEqualTo(onOpenRoute);
        assertThat(identify(false, false, TeamDirectory.empty(), headers)).isEqualTo("none");
    }

    static Stream<Arguments> hostsHeads() {
        String hop = "x-arbutus-hop";
        String team = "x-arbutus-team";
        return Stream.of(
                Arguments.of("identified", headers(hop, "1", team, "red"), "red"),
                Arguments.of("not identified", headers(hop, "1"), "HOST_BUSY"),
                Arguments.of(
                        "key passed on by an older build",
                        headers(hop, "1", "authorization", "Bearer blue-key"),
                        "HOST_BUSY"),
                Arguments.of("unknown team", headers(hop, "1", team, "yellow"), "HOST_BUSY"),
                Arguments.of("two teams", headers(hop, "1", team, "red", team, "blue"), "HOST_BUSY"),
                Arguments.of("no hop: a caller at the host's address", headers(team, "red"), "KEY_UNKNOWN"),
                Arguments.of("no hop, with a key", headers(team, "red", "authorization", "Bearer blue-key"), "blue"));
    }

    /** Guards against a forwarded request that is served unidentified, or refused for good by a host that lags. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("hostsHeads")
    void forwardedRequestIsIdentifiedByTheHost(String what, HttpHeaders headers, String expected) {
        assertThat(identify(true, false, TEAMS, headers)).isEqualTo(expected);
    }

    /** The code by which a host refuses a forwarded request must make the sender try another host. */
    @Test
    void refusalOfAForwardedRequestStatesThatItHasNotRun() {
        assertThat(ErrorCode.HOST_BUSY.httpStatus()).isEqualTo(503);
        assertThat(ErrorCode.HOST_BUSY.execution()).isEqualTo(ErrorCode.Execution.NOT_RUN);
    }

    /** Guards against a key in a log line or a problem document. */
    @Test
    void textsNameNoKey() {
        TeamCredentials credentials = TeamCredentials.read(headers("authorization", "Bearer s3cret"), () -> false);
        assertThat(credentials.toString()).doesNotContain("s3cret");
        assertThat(TeamIdentity.of(credentials, false, TEAMS).getLeft().toString())
                .doesNotContain("s3cret");
    }

    private static RequestHead head(TeamDirectory teams, String key) {
        HttpRequest request = new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/desk/a",
                headers("host", "x", "authorization", "Bearer " + key));
        TeamCredentials credentials = TeamCredentials.read(request.headers(), () -> false);
        RequestClass requestClass = new RequestClass("r", List.of(), "/", true, true, 1_000);
        Service service = new Service("desk", 0, 0, 0, List.of(requestClass), List.of());
        RouteMatch match = new RouteMatch(service, requestClass, "/a", "/a", Optional.empty());
        TeamIdentity identity = TeamIdentity.of(credentials, false, teams).get();
        return RequestHead.parse(request, "1", match, credentials, identity, HeaderNames.defaults())
                .get();
    }

    private static List<String> repeats(RequestHead head) throws UnknownHostException {
        RequestBody body = RequestBody.of(1, BufferBudget.of(1));
        body.receive(LastHttpContent.EMPTY_LAST_CONTENT, 1);
        return RequestFingerprint.ofRepeats(head, body, InetAddress.getByName("10.0.0.1"));
    }

    /** Guards against a key in a text of the head, or in a digest that is stored and that others can compute. */
    @Test
    void digestOfRepeatsDependsOnTheTeamAndNotOnTheKey() throws UnknownHostException {
        TeamDirectory teams = TeamDirectory.of(List.of(entry("blue", "s3cret", "s3cret-2"), entry("red", "s3cret-3")));
        assertThat(head(teams, "s3cret").toString()).doesNotContain("s3cret");
        assertThat(repeats(head(teams, "s3cret"))).isEqualTo(repeats(head(teams, "s3cret-2")));
        assertThat(repeats(head(teams, "s3cret"))).isNotEqualTo(repeats(head(teams, "s3cret-3")));
        assertThat(repeats(head(TeamDirectory.empty(), "s3cret")))
                .isNotEqualTo(repeats(head(TeamDirectory.empty(), "s3cret-2")));
    }
}
