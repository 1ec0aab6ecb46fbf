package org.arbutusfield.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.arbutusfield.error.ErrorCode;
import org.junit.jupiter.api.Test;

class ClientBlockListTest {

    @Property(tries = 30, seed = "4107")
    void incrementalUpdateEqualsFullBuild(@ForAll long seed, @ForAll @IntRange(max = 30_000) int size) {
        Random random = new Random(seed);
        SortedMap<Long, String> expected = new TreeMap<>();
        ClientBlockList list = ClientBlockList.empty();
        for (int note = 0; note < 4; note++) {
            List<ClientBlock> set = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            int changes = note == 0 ? size : random.nextInt(50);
            for (int i = 0; i < changes; i++) {
                long key = randomKey(random);
                set.add(new ClientBlock(PrefixKey.notation(key), "site-" + random.nextInt(40)));
                expected.put(key, set.get(i).site());
            }
            expected.keySet().stream().filter(k -> random.nextInt(400) == 0).forEach(k -> {
                if (set.stream().noneMatch(b -> PrefixKey.of(b.prefix()) == k)) {
                    removed.add(PrefixKey.notation(k));
                }
            });
            removed.forEach(prefix -> expected.remove(PrefixKey.of(prefix)));
            list = list.updated(set, removed);
        }
        SortedMap<Long, String> visited = new TreeMap<>();
        list.forEach((prefix, length, site) -> visited.put(PrefixKey.of(prefix, length), site));
        assertThat(visited).isEqualTo(expected);
        assertThat(list).isEqualTo(ClientBlockList.of(blocks(expected)));
        assertThat(list.size()).isEqualTo(expected.size());
    }

    @Property(tries = 200, seed = "4108")
    void damagedSegmentIsRejectedOrConsistent(@ForAll long seed) {
        Random random = new Random(seed);
        SortedMap<Long, String> blocks = new TreeMap<>();
        for (int i = 0; i < 20; i++) {
            blocks.put(randomKey(random), "site-" + random.nextInt(3));
        }
        byte[] bytes = ClientBlockSegment.encode(blocks).bytes().clone();
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        ClientBlockSegment.decode(bytes)
                .peek(segment -> assertThat(segment.sitesByKey()).hasSize(segment.size()))
                .peekLeft(f -> assertThat(f.code()).isEqualTo(ErrorCode.STORE_CORRUPT));
    }

    @Test
    void oneChangedBlockRewritesFewSegments() {
        Random random = new Random(4109);
        SortedMap<Long, String> expected = new TreeMap<>();
        while (expected.size() < 100_000) {
            expected.put(randomKey(random), "site-" + random.nextInt(100));
        }
        ClientBlockList before = ClientBlockList.of(blocks(expected));
        ClientBlockList after = before.updated(List.of(new ClientBlock("10.9.8.0/24", "site-0")), List.of());
        List<ClientBlockSegment> written = new ArrayList<>(after.segments());
        written.removeAll(before.segments());
        assertThat(before.segments().size()).isGreaterThan(10);
        assertThat(written).hasSizeBetween(1, 2);
    }

    @Test
    void decodesWhatItEncodes() {
        ClientBlockList list = ClientBlockList.of(List.of(
                new ClientBlock("0.0.0.0/0", "all"),
                new ClientBlock("255.255.255.255/32", "last"),
                new ClientBlock("10.0.0.0/8", "a")));
        List<ClientBlockSegment> segments = list.segments().stream()
                .map(s -> ClientBlockSegment.decode(s.bytes()).get())
                .toList();
        assertThat(ClientBlockList.ofSegments(segments).get()).isEqualTo(list);
        assertThat(list.asTable().keySet()).containsExactly("0.0.0.0/0", "10.0.0.0/8", "255.255.255.255/32");
        assertThat(ClientBlockList.ofSegments(List.of(segments.get(0), segments.get(0)))
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    private static long randomKey(Random random) {
        int length = 8 + random.nextInt(25);
        return PrefixKey.of(random.nextInt() & (-1 << (32 - length)), length);
    }

    private static List<ClientBlock> blocks(SortedMap<Long, String> expected) {
        return expected.entrySet().stream()
                .map(e -> new ClientBlock(PrefixKey.notation(e.getKey()), e.getValue()))
                .toList();
    }
}
