package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.state.StateItem;
import org.arbutusfield.team.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The teams and public routes of the operator's configuration. */
class TenantsDecodingTest {
    private static final String CONFIGURATION = """
            {"version":"r7","limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout":"1s",
            "idle_timeout":"15s"},"listeners":[{"host":"a.example","policy":[{"name":"one",
            "route_type":"idempotent","match":{"prefix":"/"},"timeout":"1s","target_latency":"1s","priority":1,
            "action":{"service":"desk","timeout":"1s","attempts":2}%s}]}],"upstreams":[]%s}
            """;

    private static Either<Failure, StateItem> decode(String route, String rest) {
        String text = CONFIGURATION.formatted(route, rest);
        return PlatformItemDecoder.create().decode("op/config", text.getBytes(StandardCharsets.UTF_8));
    }

    private static RouteTable table(String route, String rest) {
        return ((StateItem.Routes) decode(route, rest).get()).routes();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void teamsAreDecoded() {
        RouteTable table = table(
                "",
                ",\"tenants\":[{\"name\":\"blue team\",\"api_keys\":[\"k1\",\"k\u00e9\"],\"priority\":0,\"rate_per_s\":12.5,"
                        + "\"burst\":20,\"allowed_regions\":[\"gulf\"]},{\"name\":\"red\",\"api_keys\":[\"\"]}]");
        assertThat(table.teams().teams())
                .containsExactly(
                        new Team("blue team", OptionalInt.of(0), 12.5, 20, Set.of("gulf")),
                        new Team("red", OptionalInt.empty(), 0, 0, Set.of()));
        assertThat(table.teams().byKey(utf8("k\u00e9"))).isPresent();
        assertThat(table.teams().byKey(utf8("k2"))).isEmpty();
        assertThat(table.teams().byKey(utf8(""))).isEmpty();
    }

    /** Guards against a configuration of a deployment without teams that begins to require keys. */
    @ParameterizedTest
    @ValueSource(strings = {"", ",\"tenants\":[]", ",\"tenants\":null"})
    void noTeamsAreDecodedAsNone(String tenants) {
        assertThat(table("", tenants).teams().isEmpty()).isTrue();
    }

    /** Guards against a limit, region or key of the wrong type that is read as none. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"rate_per_s\":\"12\"",
                "\"rate_per_s\":-1",
                "\"rate_per_s\":1e999",
                "\"burst\":true",
                "\"priority\":-1",
                "\"priority\":1.5",
                "\"priority\":\"0\"",
                "\"api_keys\":\"k\"",
                "\"api_keys\":[7]",
                "\"allowed_regions\":\"gulf\"",
                "\"name\":\"a\\r\\nb\"",
                "\"name\":\" a\"",
                "\"name\":\"\"",
                "\"name\":\"\u00e9\""
            })
    void malformedTeamIsRefused(String field) {
        Either<Failure, StateItem> decoded = decode("", ",\"tenants\":[{\"name\":\"a\"," + field + "}]");
        assertThat(decoded.getLeft().code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
    }

    /** Guards against a route that is opened by anything but the literal. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {",\"public\":true;true", ",\"public\":false;false", ",\"public\":\"true\";false", "'';false"})
    void onlyTheLiteralOpensARoute(String field, boolean open) {
        assertThat(table(field, "").route("one").orElseThrow().open()).isEqualTo(open);
    }

    /** Guards against a parser's message that quotes the text around a fault, with the keys in it. */
    @ParameterizedTest
    @ValueSource(strings = {",\"tenants\":[{\"api_keys\":[\"s3cret\" s3cret", ",\"tenants\":[{\"api_keys\":[s3cret]}]"})
    void faultInTheTextNamesNoKey(String rest) {
        Failure failure = decode("", rest).getLeft();
        assertThat(failure.code()).isEqualTo(ErrorCode.ITEM_UNREADABLE);
        assertThat(failure.toString()).contains("line").doesNotContain("s3cret");
    }
}
