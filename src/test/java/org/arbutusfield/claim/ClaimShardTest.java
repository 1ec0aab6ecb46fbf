package org.arbutusfield.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ClaimShardTest {
    private static final ClaimKey KEY = ClaimKey.of("quotedesk", "k");
    private static final ClaimSettings SETTINGS = new ClaimSettings(
            1, Duration.ofSeconds(1000), Duration.ofSeconds(60), Duration.ofSeconds(1), Duration.ZERO, 100, 2);

    static Stream<Arguments> histories() {
        return Stream.of(
                arguments("new key", "begin a1", 0, "GRANTED"),
                arguments("same call again", "begin a1,begin a1", 0, "GRANTED"),
                arguments("resent to another host", "begin a1,begin b1", 0, "IN_PROGRESS"),
                arguments("resent to the same host", "begin a1,begin a2", 0, "IN_PROGRESS"),
                arguments("holder silent for longer than any run", "begin a1,begin b1", 61, "OUTCOME_UNKNOWN"),
                arguments("holder silent for just the run limit", "begin a1,begin b1", 60, "IN_PROGRESS"),
                arguments("not run", "begin a1,remove a1,begin b1", 0, "GRANTED"),
                arguments("completed", "begin a1,complete a1,begin b1", 0, "COMPLETED"),
                arguments("completed long ago", "begin a1,complete a1,begin b1", 999, "COMPLETED"),
                arguments("outcome unknown", "begin a1,unknown a1,begin b1", 0, "OUTCOME_UNKNOWN"),
                arguments("same call after its end", "begin a1,complete a1,begin a1", 0, "COMPLETED"),
                arguments("removed by another host", "begin a1,remove b1,begin b2", 0, "IN_PROGRESS"),
                arguments("removed by an older call", "begin a2,remove a1,begin b2", 0, "IN_PROGRESS"),
                arguments("removed after its end", "begin a1,complete a1,remove a1,begin b1", 0, "COMPLETED"),
                arguments("unknown after its end", "begin a1,complete a1,unknown a1,begin b1", 0, "COMPLETED"),
                arguments("window over", "begin a1,complete a1,begin b1", 1001, "GRANTED"),
                arguments("window over, never ended", "begin a1,begin b1", 1001, "GRANTED"),
                arguments("window not over", "begin a1,begin b1", 1000, "OUTCOME_UNKNOWN"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void decisionAfterHistory(String name, String changes, long lastAtSeconds, String decision) {
        ClaimShard shard = ClaimShard.empty();
        List<ClaimDecision> decisions = List.of();
        String[] steps = changes.split(",", -1);
        for (int i = 0; i < steps.length; i++) {
            long now = i == steps.length - 1 ? lastAtSeconds : 0;
            ClaimShard.Result result = shard.apply(List.of(change(KEY, steps[i])), now, SETTINGS);
            shard = ClaimShard.decode(result.shard().encode()).get();
            decisions = result.decisions();
        }
        assertThat(decisions).extracting(v -> v.kind().name()).containsExactly(decision);
    }

    @Test
    void fullShardRefusesNewClaimsAndKeepsExistingOnes() {
        ClaimShard shard = ClaimShard.empty();
        List<ClaimDecision.Kind> decisions = new ArrayList<>();
        for (String key : List.of("x", "y", "z", "x")) {
            ClaimChange begin = change(ClaimKey.of("s", key), "begin " + key + decisions.size());
            ClaimShard.Result result = shard.apply(List.of(begin), 0, SETTINGS);
            shard = result.shard();
            decisions.add(result.decisions().get(0).kind());
        }
        assertThat(decisions)
                .containsExactly(
                        ClaimDecision.Kind.GRANTED,
                        ClaimDecision.Kind.GRANTED,
                        ClaimDecision.Kind.FULL,
                        ClaimDecision.Kind.IN_PROGRESS);
    }

    @Test
    void shardAtMaximumSizeFitsIntoStoreValueAndDecodes() {
        List<ClaimChange> changes = new ArrayList<>();
        for (int i = 0; i < ClaimShard.MAX_CLAIMS + 10; i++) {
            String holder = String.format("%0100d", i % 1000);
            changes.add(new ClaimChange(ClaimChange.Kind.BEGIN, new ClaimKey(i, 1), holder, i, 0));
        }
        ClaimShard shard = ClaimShard.empty()
                .apply(changes, 1_800_000_000L, ClaimSettings.defaults())
                .shard();
        byte[] encoded = shard.encode();
        assertThat(shard.size()).isEqualTo(ClaimShard.MAX_CLAIMS);
        assertThat(encoded.length).isLessThan(Store.MAX_VALUE_BYTES);
        ClaimShard decoded = ClaimShard.decode(encoded).get();
        assertThat(decoded.find(new ClaimKey(77, 1))).isEqualTo(shard.find(new ClaimKey(77, 1)));
        byte[] truncated = java.util.Arrays.copyOf(encoded, encoded.length - 1);
        assertThat(ClaimShard.decode(truncated).getLeft().code()).isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    private static ClaimChange change(ClaimKey key, String step) {
        String[] words = step.split(" ", 2);
        ClaimChange.Kind kind =
                switch (words[0]) {
                    case "begin" -> ClaimChange.Kind.BEGIN;
                    case "remove" -> ClaimChange.Kind.REMOVE;
                    case "complete" -> ClaimChange.Kind.COMPLETE;
                    default -> ClaimChange.Kind.MARK_UNKNOWN;
                };
        return new ClaimChange(kind, key, words[1].substring(0, 1), words[1].charAt(1), 200);
    }
}
