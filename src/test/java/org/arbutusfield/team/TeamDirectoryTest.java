package org.arbutusfield.team;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Look-ups of teams by key and name. */
class TeamDirectoryTest {
    private static final byte[] SECRET = new byte[32];

    private static TeamDirectory.Entry entry(String name, String... keys) {
        return new TeamDirectory.Entry(
                new Team(name, OptionalInt.empty(), 0, 0, Set.of()),
                Stream.of(keys)
                        .map(key -> KeyDigester.ofProcess().digest(bytes(key)))
                        .toList());
    }

    private static byte[] bytes(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    private static String teamOf(TeamDirectory teams, String key) {
        return teams.byKey(bytes(key)).map(Team::name).orElse("-");
    }

    /** Guards against a comparison that ends at the shorter of two keys, or that ignores the case. */
    @Test
    void keysAreComparedInFull() {
        TeamDirectory teams = TeamDirectory.of(List.of(entry("one", "key", "other"), entry("two", "key-2")));
        assertThat(teamOf(teams, "key")).isEqualTo("one");
        assertThat(teamOf(teams, "other")).isEqualTo("one");
        assertThat(teamOf(teams, "key-2")).isEqualTo("two");
        assertThat(List.of(
                        teamOf(teams, "ke"),
                        teamOf(teams, "key-"),
                        teamOf(teams, "KEY"),
                        teamOf(teams, "key-22"),
                        teamOf(teams, ""),
                        teamOf(teams, "key\0")))
                .containsOnly("-");
    }

    /** Guards against a key of two teams that identifies one team on some hosts and the other on others. */
    @Test
    void firstTeamOfADuplicateCounts() {
        TeamDirectory teams =
                TeamDirectory.of(List.of(entry("one", "a", "a"), entry("two", "a", "b"), entry("one", "c")));
        assertThat(teamOf(teams, "a")).isEqualTo("one");
        assertThat(teamOf(teams, "b")).isEqualTo("two");
        assertThat(teamOf(teams, "c")).isEqualTo("-");
        assertThat(teams.teams()).extracting(Team::name).containsExactly("one", "two");
        assertThat(teams.duplicates())
                .containsExactly(new TeamDirectory.Duplicate("one", "two"), new TeamDirectory.Duplicate("one", "one"));
    }

    /** Guards against a digest that can be computed without the secret of the process. */
    @Test
    void digestsDependOnTheSecret() {
        KeyDigester one = KeyDigester.create(SECRET);
        byte[] otherSecret = SECRET.clone();
        otherSecret[0] = 1;
        assertThat(one.digest(bytes("k"))).isEqualTo(KeyDigester.create(SECRET).digest(bytes("k")));
        assertThat(one.digest(bytes("k")))
                .isNotEqualTo(KeyDigester.create(otherSecret).digest(bytes("k")));
        assertThat(one.digest(bytes("k"))).isNotEqualTo(one.digest(bytes("l")));
    }

    /** Guards against a key, or a digest that could be compared with others, in a log line. */
    @Test
    void textsNameNoKey() {
        TeamDirectory.Entry entry = entry("one", "secret-key");
        assertThat(entry.toString()).contains("KeyDigest").doesNotContain("secret-key", "@");
        assertThat(TeamDirectory.of(List.of(entry))).hasToString("TeamDirectory[one]");
    }

    @Test
    void emptyDirectoryKnowsNobody() {
        assertThat(TeamDirectory.empty().isEmpty()).isTrue();
        assertThat(teamOf(TeamDirectory.empty(), "key")).isEqualTo("-");
        assertThat(TeamDirectory.of(List.of(entry("one"))).isEmpty()).isFalse();
        assertThat(TeamDirectory.of(List.of(entry("one"))).byName("one")).isPresent();
    }
}
