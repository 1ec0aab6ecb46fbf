package org.arbutusfield.lookup;

import java.util.Arrays;

/**
 * Turns the nested prefixes of one chunk of 65,536 addresses into non-overlapping ranges.
 *
 * <p>Prefixes are added as packed entries (base, length, site) in ascending order, so that an outer prefix comes before
 * the ones inside it. A stack holds the prefixes that contain the current address.
 */
final class ChunkBuilder {
    private static final int ADDRESSES = 1 << 16;
    private static final int SITE_BITS = 16;
    private static final int LENGTH_BITS = 6;
    private static final int MAX_DEPTH = 18;

    private final char[] starts = new char[ADDRESSES];
    private final char[] sites = new char[ADDRESSES];
    private final int[] openEnds = new int[MAX_DEPTH];
    private final int[] openSites = new int[MAX_DEPTH];
    private int count;
    private int depth;

    private ChunkBuilder() {}

    static ChunkBuilder create() {
        return new ChunkBuilder();
    }

    /** Packs a prefix and its site so that entries sort by base, then by length. */
    static long entry(Ipv4Block block, int site) {
        long base = Integer.toUnsignedLong(block.base());
        return (base << LENGTH_BITS | block.length()) << SITE_BITS | site;
    }

    static int chunk(long entry) {
        return (int) (entry >>> (SITE_BITS + LENGTH_BITS + 16));
    }

    static int length(long entry) {
        return (int) (entry >>> SITE_BITS) & ((1 << LENGTH_BITS) - 1);
    }

    static int site(long entry) {
        return (int) entry & ((1 << SITE_BITS) - 1);
    }

    /** Starts a chunk. The background site covers the addresses that no entry covers. */
    void reset(int background) {
        count = 0;
        openEnds[0] = ADDRESSES;
        openSites[0] = background;
        depth = 1;
        emit(0, background);
    }

    /** Adds an entry; entries must come in ascending order. */
    void add(long entry) {
        int start = (int) (entry >>> (SITE_BITS + LENGTH_BITS)) & (ADDRESSES - 1);
        closeUntil(start);
        int end = start + (1 << (32 - length(entry)));
        openEnds[depth] = end;
        openSites[depth] = site(entry);
        depth++;
        emit(start, site(entry));
    }

    /** The chunk: starts, then sites. */
    char[] build() {
        closeUntil(ADDRESSES);
        char[] ranges = Arrays.copyOf(starts, 2 * count);
        System.arraycopy(sites, 0, ranges, count, count);
        return ranges;
    }

    private void closeUntil(int address) {
        while (depth > 1 && openEnds[depth - 1] <= address) {
            int end = openEnds[--depth];
            if (end < ADDRESSES) {
                emit(end, openSites[depth - 1]);
            }
        }
    }

    private void emit(int start, int site) {
        if (count > 0 && starts[count - 1] == start) {
            count--;
        }
        if (count > 0 && sites[count - 1] == site) {
            return;
        }
        starts[count] = (char) start;
        sites[count] = (char) site;
        count++;
    }
}
