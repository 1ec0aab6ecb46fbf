package org.arbutusfield.lookup;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Entity;

/**
 * Finds the site nearest to a caller: longest-prefix match over all client blocks. Immutable.
 *
 * <p><b>Problem.</b> Blocks nest, there are more than a million of them, every look-up searches them, and a release
 * note changes only a few at a time. A trie of objects costs tens of bytes per block; a hash table per prefix length
 * costs up to 32 probes.
 *
 * <p><b>Idea.</b> Nested prefixes divide the address space into non-overlapping ranges, each with one site. The space
 * is split by the first 16 bits into 65,536 chunks. A chunk is one {@code char[]}: first the sorted starts of its
 * ranges (the last 16 bits of the address), then their sites, so that a range costs four bytes. A look-up indexes the
 * chunk and does a binary search over the starts; it allocates nothing. Consecutive chunks that one site covers share
 * an array. An update copies the array of references and rebuilds only the affected chunks.
 *
 * <p><b>Invariants.</b> The first start of a chunk is 0, starts are strictly increasing, adjacent ranges have different
 * sites, and site 0 means that no block covers the range. Site numbers never change between a table and its successors.
 *
 * <p><b>Example.</b> {@code 10.1.0.0/16 -> a} and {@code 10.1.128.0/24 -> b} give chunk 10.1 the starts {@code [0,
 * 0x8000, 0x8100]} and the sites {@code [a, b, a]}.
 */
public final class BlockTable {
    /** Site number of an address that no block covers. */
    public static final int NO_SITE = 0;

    private static final int CHUNK_BITS = 16;
    private static final int CHUNKS = 1 << CHUNK_BITS;
    private static final int MAX_SITES = 0xFFFF;
    private static final int ARRAY_HEADER_BYTES = 16;
    private static final int REFERENCE_BYTES = 4;
    private static final BlockTable EMPTY = empty(new char[] {0, NO_SITE});

    private final char[][] chunks;
    private final String[] sites;
    private final Map<String, Integer> siteNumbers;

    private BlockTable(char[][] chunks, String[] sites, Map<String, Integer> siteNumbers) {
        this.chunks = chunks;
        this.sites = sites;
        this.siteNumbers = siteNumbers;
    }

    /** A table without blocks. */
    public static BlockTable empty() {
        return EMPTY;
    }

    /** A table of the blocks; a malformed prefix is a {@code NOTE_SCHEMA} failure. */
    public static Either<Failure, BlockTable> of(Collection<ClientBlock> blocks) {
        Map<String, Integer> numbers = new HashMap<>();
        long[] entries = new long[blocks.size()];
        int count = 0;
        for (ClientBlock block : blocks) {
            Either<Failure, Ipv4Block> prefix = Ipv4Block.parse(block.prefix());
            if (prefix.isLeft()) {
                return Either.left(prefix.getLeft());
            }
            int site = numbers.computeIfAbsent(block.site(), name -> numbers.size() + 1);
            if (site > MAX_SITES) {
                return Either.left(Failure.of(ErrorCode.NOTE_TOO_LARGE, block.site(), "more than 65535 sites"));
            }
            entries[count++] = ChunkBuilder.entry(prefix.get(), site);
        }
        Arrays.sort(entries);
        return Either.right(new BlockTable(chunksOf(entries), siteNames(numbers), numbers));
    }

    /**
     * The table after some blocks were added, changed or withdrawn.
     *
     * @param blocks all blocks after the change, by prefix
     * @param changed prefixes of the blocks that differ; unchanged prefixes may be included
     * @return the new table, or {@code NOTE_SCHEMA} for a malformed prefix
     */
    public Either<Failure, BlockTable> updated(SortedMap<String, ? extends Entity> blocks, Collection<String> changed) {
        TreeSet<Integer> affected = new TreeSet<>();
        for (String prefix : changed) {
            Either<Failure, Ipv4Block> block = Ipv4Block.parse(prefix);
            if (block.isLeft()) {
                return Either.left(block.getLeft());
            }
            addAffectedChunks(block.get(), affected);
        }
        Map<String, Integer> numbers = new HashMap<>(siteNumbers);
        char[][] next = chunks.clone();
        for (int chunk : affected) {
            Either<Failure, char[]> rebuilt = rebuild(chunk, blocks, numbers);
            if (rebuilt.isLeft()) {
                return Either.left(rebuilt.getLeft());
            }
            next[chunk] = rebuilt.get();
        }
        if (numbers.size() > MAX_SITES) {
            return Either.left(Failure.of(ErrorCode.NOTE_TOO_LARGE, "blocks", "more than 65535 sites"));
        }
        return Either.right(new BlockTable(next, siteNames(numbers), numbers));
    }

    /**
     * Number of the site nearest to the address; {@link #NO_SITE} when no block covers it.
     *
     * @param address IPv4 address as 32 bits
     */
    public int siteNumber(int address) {
        char[] chunk = chunks[address >>> CHUNK_BITS];
        int low = address & (CHUNKS - 1);
        int count = chunk.length >>> 1;
        int first = 0;
        int last = count - 1;
        while (first < last) {
            int middle = (first + last + 1) >>> 1;
            if (chunk[middle] <= low) {
                first = middle;
            } else {
                last = middle - 1;
            }
        }
        return chunk[count + first];
    }

    /** Name of a site by its number; empty for {@link #NO_SITE}. */
    public String siteName(int number) {
        return sites[number];
    }

    /** Largest site number in use. */
    public int siteCount() {
        return sites.length - 1;
    }

    /** Memory that the table uses, without the site names, in bytes; assumes 4-byte references (a heap below 32 GB). */
    public long memoryBytes() {
        long total = ARRAY_HEADER_BYTES + (long) CHUNKS * REFERENCE_BYTES;
        char[] previous = null;
        for (char[] chunk : chunks) {
            if (chunk != previous) {
                total += ARRAY_HEADER_BYTES + (long) chunk.length * Character.BYTES;
            }
            previous = chunk;
        }
        return total;
    }

    private static BlockTable empty(char[] uniform) {
        char[][] chunks = new char[CHUNKS][];
        Arrays.fill(chunks, uniform);
        return new BlockTable(chunks, new String[] {""}, Map.of());
    }

    private static char[][] chunksOf(long[] entries) {
        char[] background = background(entries);
        char[][] chunks = new char[CHUNKS][];
        ChunkBuilder builder = ChunkBuilder.create();
        char[] uniform = new char[] {0, NO_SITE};
        int next = 0;
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            builder.reset(background[chunk]);
            while (next < entries.length && ChunkBuilder.chunk(entries[next]) == chunk) {
                if (ChunkBuilder.length(entries[next]) >= CHUNK_BITS) {
                    builder.add(entries[next]);
                }
                next++;
            }
            char[] ranges = builder.build();
            chunks[chunk] = Arrays.equals(ranges, uniform) ? uniform : ranges;
            uniform = ranges.length == 2 ? chunks[chunk] : uniform;
        }
        return chunks;
    }

    /**
     * Sites of the prefixes that span more than one chunk. Entries are sorted with outer prefixes first, so that inner
     * ones overwrite them.
     */
    private static char[] background(long[] entries) {
        char[] background = new char[CHUNKS];
        for (long entry : entries) {
            int length = ChunkBuilder.length(entry);
            if (length < CHUNK_BITS) {
                int first = ChunkBuilder.chunk(entry);
                Arrays.fill(background, first, first + (1 << (CHUNK_BITS - length)), (char) ChunkBuilder.site(entry));
            }
        }
        return background;
    }

    private static void addAffectedChunks(Ipv4Block block, Collection<Integer> affected) {
        int first = block.base() >>> CHUNK_BITS;
        int count = block.length() >= CHUNK_BITS ? 1 : 1 << (CHUNK_BITS - block.length());
        for (int i = 0; i < count; i++) {
            affected.add(first + i);
        }
    }

    private static Either<Failure, char[]> rebuild(
            int chunk, SortedMap<String, ? extends Entity> blocks, Map<String, Integer> numbers) {
        // All keys of a chunk start with "a.b."; '/' is the character after '.' and so ends the range.
        String keyPrefix = (chunk >>> 8) + "." + (chunk & 0xFF);
        Collection<? extends Entity> chunkBlocks =
                blocks.subMap(keyPrefix + ".", keyPrefix + "/").values();
        long[] entries = new long[chunkBlocks.size()];
        int count = 0;
        for (Entity item : chunkBlocks) {
            ClientBlock block = (ClientBlock) item;
            Either<Failure, Ipv4Block> prefix = Ipv4Block.parse(block.prefix());
            if (prefix.isLeft()) {
                return Either.left(prefix.getLeft());
            }
            if (prefix.get().length() >= CHUNK_BITS) {
                entries[count++] = ChunkBuilder.entry(prefix.get(), number(block.site(), numbers));
            }
        }
        Arrays.sort(entries, 0, count);
        ChunkBuilder builder = ChunkBuilder.create();
        builder.reset(coveringSite(chunk, blocks, numbers));
        for (int i = 0; i < count; i++) {
            builder.add(entries[i]);
        }
        return Either.right(builder.build());
    }

    private static int coveringSite(
            int chunk, SortedMap<String, ? extends Entity> blocks, Map<String, Integer> numbers) {
        int base = chunk << CHUNK_BITS;
        for (int length = CHUNK_BITS - 1; length >= 0; length--) {
            Entity item = blocks.get(new Ipv4Block(base & Ipv4Block.mask(length), length).notation());
            if (item instanceof ClientBlock block) {
                return number(block.site(), numbers);
            }
        }
        return NO_SITE;
    }

    private static int number(String site, Map<String, Integer> numbers) {
        return numbers.computeIfAbsent(site, name -> numbers.size() + 1);
    }

    private static String[] siteNames(Map<String, Integer> numbers) {
        String[] siteNames = new String[numbers.size() + 1];
        siteNames[NO_SITE] = "";
        numbers.forEach((name, number) -> siteNames[number] = name);
        return siteNames;
    }
}
