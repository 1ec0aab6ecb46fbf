package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.StateItem;
import org.arbutusfield.state.UpstreamEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Valid and malformed items of the platform's store. */
class PlatformItemDecoderTest {
    static final String SERVER = "{\"address\":\"10.128.0.9:8080\",\"born\":1790000000000,\"details\":{"
            + "\"service\":\"desk\",\"version\":\"v1\",\"zone\":\"gulf-a\",\"slots\":3},"
            + "\"status\":{\"state\":\"ready\",\"sequence\":4,\"cold_remaining\":\"1500ms\"}}";

    private static Either<Failure, StateItem> decode(String key, String value) {
        return PlatformItemDecoder.create().decode(key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void serverEntryIsDecoded() {
        StateItem item = decode("servers/i-1", SERVER).get();
        UpstreamEntry entry = ((StateItem.UpstreamRegistration) item).entry();
        assertThat(entry.id()).isEqualTo("i-1");
        assertThat(entry.service()).isEqualTo("desk");
        assertThat(entry.failureDomain()).isEqualTo("gulf-a");
        assertThat(entry.address().getPort()).isEqualTo(8080);
        assertThat(entry.slots()).isEqualTo(3);
        assertThat(entry.draining()).isFalse();
        assertThat(entry.coldRemaining()).isEqualTo(Duration.ofMillis(1500));
        assertThat(entry.startMillis()).isEqualTo(1_790_000_000_000L);
    }

    static Stream<Arguments> malformedEntries() {
        return Stream.of(
                Arguments.of("not JSON", "\u0000\u0001"),
                Arguments.of("empty", ""),
                Arguments.of("a list", "[]"),
                Arguments.of("no details", SERVER.replace("details", "detail")),
                Arguments.of("unknown state", SERVER.replace("ready", "resting")),
                Arguments.of("slots as text", SERVER.replace("\"slots\":3", "\"slots\":\"3\"")),
                Arguments.of("no slots", SERVER.replace("\"slots\":3", "\"slots\":0")),
                Arguments.of("a name as address", SERVER.replace("10.128.0.9", "host")),
                Arguments.of("start with a fraction", SERVER.replace("1790000000000", "1.5")),
                Arguments.of("cold time without unit", SERVER.replace("1500ms", "1500")),
                Arguments.of("deeply nested", "[".repeat(100_000)),
                Arguments.of("deeply nested field", SERVER.replace("\"v1\"", "{\"a\":".repeat(50_000))),
                Arguments.of("deeply nested and closed", SERVER.replace("\"v1\"", nested(5_000))),
                Arguments.of("slots beyond an int", SERVER.replace("\"slots\":3", "\"slots\":99999999999")),
                Arguments.of("slots beyond a double", SERVER.replace("\"slots\":3", "\"slots\":1e999")),
                Arguments.of("slots that expand", SERVER.replace("\"slots\":3", "\"slots\":1e999999999")),
                Arguments.of("slots of many digits", SERVER.replace("\"slots\":3", "\"slots\":3" + "0".repeat(50_000))),
                Arguments.of("start beyond a long", SERVER.replace("1790000000000", "9".repeat(20))),
                Arguments.of("port out of range", SERVER.replace(":8080", ":65536")),
                Arguments.of("port of many digits", SERVER.replace(":8080", ":" + "8".repeat(5_000))),
                Arguments.of("port zero", SERVER.replace(":8080", ":0")),
                Arguments.of("negative port", SERVER.replace(":8080", ":-1")),
                Arguments.of("address out of range", SERVER.replace("10.128.0.9", "999.128.0.9")));
    }

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    /** Guards against an entry whose id would change the requests and log lines that name it. */
    @ParameterizedTest
    @ValueSource(strings = {"servers/", "servers/a b", "servers/a\r\nx: y", "servers/\u00e4", "servers/a\u0000"})
    void entryWithAnIdThatIsNoTokenIsRejected(String key) {
        assertThat(decode(key, SERVER).getLeft().code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("malformedEntries")
    void malformedServerEntryIsRejected(String name, String value) {
        assertThat(decode("servers/i-1", value).getLeft().code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
    }

    @Test
    void configurationIsDecoded() {
        String rule = "{\"name\":\"r-1\",\"route_type\":\"%s\",\"target_latency\":\"600ms\",\"priority\":1,"
                + "\"session_affinity\":true,\"match\":{\"prefix\":\"%s\"},\"action\":{%s,\"timeout\":\"2s\","
                + "\"attempts\":2,\"allowed_regions\":[\"gulf\"]}}";
        String config = "{\"version\":\"r7\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"},\"listeners\":[{\"host\":\"a.example\","
                + "\"policy\":["
                + rule.formatted("non_idempotent", "/one/", "\"service\":\"desk\"")
                        .replace("r-1", "r-0") + ","
                + rule.formatted(
                        "download",
                        "/one/two/",
                        "\"traffic_split\":[{\"service\":\"desk\",\"weight\":90},{\"service\":\"vault\",\"weight\":10}]")
                + "," + rule.formatted("upload", "/up/", "\"service\":\"desk\"").replace("r-1", "r-2")
                + "]}],\"upstreams\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":660,"
                + "\"cold_start\":\"3s\",\"cold_per_s\":2.6}]}";
        RouteTable table = ((StateItem.Routes) decode("op/config", config).get()).routes();
        assertThat(table.version()).isEqualTo(7);
        assertThat(table.limits().idleTimeout()).isEqualTo(Duration.ofSeconds(15));
        Route nonIdempotent = table.match("A.example", "/one/x").orElseThrow();
        assertThat(nonIdempotent.idempotent()).isFalse();
        assertThat(nonIdempotent.upload()).isFalse();
        Route upload = table.match("a.example", "/up/x").orElseThrow();
        assertThat(upload.upload()).isTrue();
        assertThat(upload.idempotent()).isFalse();
        assertThat(nonIdempotent.allowedRegions()).isEqualTo(Set.of("gulf"));
        assertThat(nonIdempotent.timeout()).isEqualTo(Duration.ofSeconds(2));
        Route download = table.match("a.example", "/one/two/x").orElseThrow();
        assertThat(download.idempotent()).isTrue();
        assertThat(download.largeResponses()).isTrue();
        assertThat(download.weightedServices())
                .containsExactly(new WeightedService("desk", 90), new WeightedService("vault", 10));
        assertThat(download.serviceAt(0.89)).isEqualTo("desk");
        assertThat(download.serviceAt(0.91)).isEqualTo("vault");
        assertThat(table.match("a.example", "/on")).isEmpty();
        assertThat(table.service("desk").orElseThrow().coldRequestsPerSecond()).isEqualTo(2.6);
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"version\":\"7\"}", "", "[1]"})
    void malformedConfigurationIsRejected(String value) {
        assertThat(decode("op/config", value).getLeft().code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
    }

    @Test
    void otherItemsAreDecodedOrIgnored() {
        assertThat(decode("op/evacuate/gulf-a", "{}").get()).isEqualTo(new StateItem.DomainDrain("gulf-a"));
        assertThat(decode("elsewhere/x", "?").get()).isEqualTo(new StateItem.Other());
        assertThat(decode("hosts/h", "{\"callers\":\"x\"}").getLeft().code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
    }
}
