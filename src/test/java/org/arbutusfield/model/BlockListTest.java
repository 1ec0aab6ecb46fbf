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

class BlockListTest {

    @Property(tries = 30, seed = "4107")
    void updatedListEqualsOneBuiltAnew(@ForAll long seed, @ForAll @IntRange(max = 30_000) int size) {
        Random random = new Random(seed);
        SortedMap<Long, String> model = new TreeMap<>();
        BlockList list = BlockList.empty();
        for (int note = 0; note < 4; note++) {
            List<ClientBlock> set = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            int changes = note == 0 ? size : random.nextInt(50);
            for (int i = 0; i < changes; i++) {
                long key = randomKey(random);
                set.add(new ClientBlock(BlockKey.notation(key), "site-" + random.nextInt(40)));
                model.put(key, set.get(i).site());
            }
            model.keySet().stream().filter(k -> random.nextInt(400) == 0).forEach(k -> {
                if (set.stream().noneMatch(b -> BlockKey.of(b.prefix()) == k)) {
                    removed.add(BlockKey.notation(k));
                }
            });
            removed.forEach(prefix -> model.remove(BlockKey.of(prefix)));
            list = list.updated(set, removed);
        }
        SortedMap<Long, String> seen = new TreeMap<>();
        list.forEach((prefix, length, site) -> seen.put(BlockKey.of(prefix, length), site));
        assertThat(seen).isEqualTo(model);
        assertThat(list).isEqualTo(BlockList.of(blocks(model)));
        assertThat(list.size()).isEqualTo(model.size());
    }

    @Property(tries = 200, seed = "4108")
    void damagedSegmentIsRefusedOrSound(@ForAll long seed) {
        Random random = new Random(seed);
        SortedMap<Long, String> blocks = new TreeMap<>();
        for (int i = 0; i < 20; i++) {
            blocks.put(randomKey(random), "site-" + random.nextInt(3));
        }
        byte[] bytes = BlockSegment.encode(blocks).bytes().clone();
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        BlockSegment.decode(bytes)
                .peek(segment -> assertThat(segment.decoded()).hasSize(segment.size()))
                .peekLeft(f -> assertThat(f.code()).isEqualTo(ErrorCode.STORE_CORRUPT));
    }

    @Test
    void oneChangedBlockRewritesFewSegments() {
        Random random = new Random(4109);
        SortedMap<Long, String> model = new TreeMap<>();
        while (model.size() < 100_000) {
            model.put(randomKey(random), "site-" + random.nextInt(100));
        }
        BlockList before = BlockList.of(blocks(model));
        BlockList after = before.updated(List.of(new ClientBlock("10.9.8.0/24", "site-0")), List.of());
        List<BlockSegment> written = new ArrayList<>(after.segments());
        written.removeAll(before.segments());
        assertThat(before.segments().size()).isGreaterThan(10);
        assertThat(written).hasSizeBetween(1, 2);
    }

    @Test
    void decodesWhatItEncodes() {
        BlockList list = BlockList.of(List.of(
                new ClientBlock("0.0.0.0/0", "all"),
                new ClientBlock("255.255.255.255/32", "last"),
                new ClientBlock("10.0.0.0/8", "a")));
        List<BlockSegment> segments = list.segments().stream()
                .map(s -> BlockSegment.decode(s.bytes()).get())
                .toList();
        assertThat(BlockList.ofSegments(segments).get()).isEqualTo(list);
        assertThat(list.asTable().keySet()).containsExactly("0.0.0.0/0", "10.0.0.0/8", "255.255.255.255/32");
        assertThat(BlockList.ofSegments(List.of(segments.get(0), segments.get(0)))
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    private static long randomKey(Random random) {
        int length = 8 + random.nextInt(25);
        return BlockKey.of(random.nextInt() & (-1 << (32 - length)), length);
    }

    private static List<ClientBlock> blocks(SortedMap<Long, String> model) {
        return model.entrySet().stream()
                .map(e -> new ClientBlock(BlockKey.notation(e.getKey()), e.getValue()))
                .toList();
    }
}
