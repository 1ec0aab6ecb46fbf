package org.arbutusfield.lookup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.model.ClientBlock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BlockTableTest {
    private static final List<ClientBlock> NESTED = List.of(
            new ClientBlock("10.0.0.0/8", "wide"),
            new ClientBlock("10.1.0.0/16", "a"),
            new ClientBlock("10.1.128.0/24", "b"),
            new ClientBlock("10.1.128.0/25", "c"),
            new ClientBlock("10.1.128.7/32", "d"),
            new ClientBlock("200.0.0.0/24", "high"));

    @ParameterizedTest
    @CsvSource({
        "10.0.0.0, wide",
        "10.255.255.255, wide",
        "10.1.0.0, a",
        "10.1.127.255, a",
        "10.1.128.6, c",
        "10.1.128.7, d",
        "10.1.128.8, c",
        "10.1.128.127, c",
        "10.1.128.128, b",
        "10.1.129.0, a",
        "10.2.0.0, wide",
        "200.0.0.255, high",
        "200.0.1.0, ''",
        "9.255.255.255, ''",
        "11.0.0.0, ''"
    })
    void longestPrefixMatches(String address, String site) {
        BlockTable table = BlockTable.of(NESTED).get();
        assertThat(siteOf(table, Ipv4Block.parseAddress(address).get())).isEqualTo(site);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "10.0.0.0",
                "10.0.0/8",
                "10.0.0.0/33",
                "10.0.0.1/24",
                "010.0.0.0/8",
                "256.0.0.0/8",
                "a/8",
                "10.0.0.0/",
                "10.0.0.0.0/8",
                "10..0.0/8",
                "-1.0.0.0/8",
                "10.0.0.0/08",
                " 10.0.0.0/8"
            })
    void rejectsNonCanonicalPrefix(String prefix) {
        assertThat(BlockTable.of(List.of(new ClientBlock(prefix, "a")))
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.NOTE_SCHEMA);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void updatedTableMatchesReferenceLookup(long seed) {
        Random random = new Random(seed);
        SortedMap<String, ClientBlock> blocks = new TreeMap<>();
        BlockTable table = BlockTable.empty();
        for (int round = 0; round < 20; round++) {
            List<String> changed = applyRandomChanges(random, blocks);
            table = table.updated(blocks, changed).get();
            BlockTable built = BlockTable.of(blocks.values()).get();
            for (int i = 0; i < 300; i++) {
                int address = randomAddress(random);
                String expected = referenceSite(blocks, address);
                assertThat(siteOf(table, address)).as("seed %d updated", seed).isEqualTo(expected);
                assertThat(siteOf(built, address)).as("seed %d built", seed).isEqualTo(expected);
            }
        }
    }

    @Test
    void updateLeavesOldTableUnchanged() {
        BlockTable before = BlockTable.of(NESTED).get();
        SortedMap<String, ClientBlock> blocks = new TreeMap<>();
        before.updated(blocks, List.of("10.0.0.0/8")).get();
        assertThat(siteOf(before, Ipv4Block.parseAddress("10.1.0.1").get())).isEqualTo("a");
    }

    private static List<String> applyRandomChanges(Random random, SortedMap<String, ClientBlock> blocks) {
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int length = random.nextInt(4) == 0 ? 9 + random.nextInt(7) : 16 + random.nextInt(17);
            String prefix = new Ipv4Block(randomAddress(random) & Ipv4Block.mask(length), length).notation();
            changed.add(prefix);
            blocks.put(prefix, new ClientBlock(prefix, "s" + random.nextInt(6)));
        }
        if (blocks.size() > 30) {
            String removed = new ArrayList<>(blocks.keySet()).get(random.nextInt(blocks.size()));
            blocks.remove(removed);
            changed.add(removed);
        }
        return changed;
    }

    /** A random address from a few chunks and with few distinct low bits, so that prefixes nest. */
    private static int randomAddress(Random random) {
        int chunk = (10 << 8 | random.nextInt(3)) << 16;
        return chunk | random.nextInt(4) << 14 | random.nextInt(3) << 7 | random.nextInt(5);
    }

    private static String referenceSite(SortedMap<String, ClientBlock> blocks, int address) {
        for (int length = 32; length >= 0; length--) {
            ClientBlock block = blocks.get(new Ipv4Block(address & Ipv4Block.mask(length), length).notation());
            if (block != null) {
                return block.site();
            }
        }
        return "";
    }

    private static String siteOf(BlockTable table, int address) {
        return table.siteName(table.siteNumber(address));
    }
}
