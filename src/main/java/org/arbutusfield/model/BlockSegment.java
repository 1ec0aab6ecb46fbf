package org.arbutusfield.model;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;

/**
 * A run of client blocks in a compact form, a few bytes each, that is also their form in the store.
 *
 * <p>Form: count, then the names of the sites in use (count, then length and UTF-8 of each), then per block its prefix
 * length, the distance from the block before it in units of the block's own size, and the number of its site. All
 * numbers are unsigned, seven bits a byte, least significant first. Equal runs have equal bytes.
 */
public final class BlockSegment {
    private static final String SUBJECT = "block segment";
    private static final int ADDRESS_BITS = 32;
    private static final int MORE = 0x80;
    private static final int PAYLOAD_BITS = 7;
    private static final int MAX_NAME_BYTES = 64;

    private final byte[] bytes;
    private final String digest;
    private final List<String> sites;
    private final int size;
    private final int offset;
    private final long firstKey;

    private BlockSegment(byte[] bytes, List<String> sites, int size, int offset, long firstKey) {
        this.bytes = bytes;
        this.digest = Digests.sha256(bytes);
        this.sites = sites;
        this.size = size;
        this.offset = offset;
        this.firstKey = firstKey;
    }

    /** Encodes a run of blocks, at least one, given as site names by block key. */
    static BlockSegment encode(SortedMap<Long, String> blocks) {
        Map<String, Integer> numbers = new LinkedHashMap<>();
        blocks.values().forEach(site -> numbers.putIfAbsent(site, numbers.size()));
        ByteArrayOutputStream out = new ByteArrayOutputStream(blocks.size() * 4);
        writeNumber(out, blocks.size());
        writeNumber(out, numbers.size());
        for (String site : numbers.keySet()) {
            byte[] name = site.getBytes(StandardCharsets.UTF_8);
            writeNumber(out, name.length);
            out.writeBytes(name);
        }
        int offset = out.size();
        int before = 0;
        for (Map.Entry<Long, String> block : blocks.entrySet()) {
            int length = BlockKey.length(block.getKey());
            int prefix = BlockKey.prefixBits(block.getKey());
            out.write(length);
            writeNumber(out, units(prefix, length) - units(before, length));
            writeNumber(out, numbers.get(block.getValue()));
            before = prefix;
        }
        return new BlockSegment(
                out.toByteArray(), List.copyOf(numbers.keySet()), blocks.size(), offset, blocks.firstKey());
    }

    /**
     * Decodes a run, checking every block. The bytes are kept, not copied.
     *
     * @return the segment, or {@code STORE_CORRUPT}
     */
    public static Either<Failure, BlockSegment> decode(byte[] bytes) {
        try {
            return Either.right(parse(bytes));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, SUBJECT, e.toString()));
        }
    }

    /** Number of blocks, 1 or more. */
    public int size() {
        return size;
    }

    /** The encoded form; must not be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /** SHA-256 of the encoded form, in hexadecimal. */
    public String digest() {
        return digest;
    }

    /** Names of the sites in use, in order of first use. */
    public List<String> sites() {
        return sites;
    }

    /** Visits every block in order. */
    public void forEach(BlockVisitor visitor) {
        ByteBuffer in = ByteBuffer.wrap(bytes).position(offset);
        long before = 0;
        for (int i = 0; i < size; i++) {
            int length = in.get();
            before = prefixAfter(before, length, readNumber(in));
            visitor.block((int) before, length, sites.get((int) readNumber(in)));
        }
    }

    /** Key of the first block. */
    long firstKey() {
        return firstKey;
    }

    /** Site names by block key. */
    SortedMap<Long, String> decoded() {
        SortedMap<Long, String> blocks = new TreeMap<>();
        forEach((prefix, length, site) -> blocks.put(BlockKey.of(prefix, length), site));
        return blocks;
    }

    private static BlockSegment parse(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        long size = readNumber(in);
        long siteCount = readNumber(in);
        require(size > 0 && size <= bytes.length && siteCount > 0 && siteCount <= size, "counts");
        List<String> sites = new ArrayList<>();
        for (long i = 0; i < siteCount; i++) {
            long length = readNumber(in);
            require(length <= MAX_NAME_BYTES, "length of a name");
            byte[] name = new byte[(int) length];
            in.get(name);
            sites.add(new String(name, StandardCharsets.UTF_8).intern());
        }
        int offset = in.position();
        long firstKey = checkBlocks(in, size, siteCount);
        return new BlockSegment(bytes, List.copyOf(sites), (int) size, offset, firstKey);
    }

    private static long checkBlocks(ByteBuffer in, long size, long siteCount) {
        long before = 0;
        long lastKey = -1;
        long firstKey = -1;
        for (long i = 0; i < size; i++) {
            int length = in.get();
            require(length >= 0 && length <= ADDRESS_BITS, "prefix length");
            before = prefixAfter(before, length, readNumber(in));
            require(before >>> ADDRESS_BITS == 0 && readNumber(in) < siteCount, "address or site");
            long key = BlockKey.of((int) before, length);
            require(key > lastKey, "order of blocks");
            firstKey = i == 0 ? key : firstKey;
            lastKey = key;
        }
        require(!in.hasRemaining(), "bytes after the last block");
        return firstKey;
    }

    private static long prefixAfter(long before, int length, long distance) {
        int shift = ADDRESS_BITS - length;
        return ((before >>> shift) + distance) << shift;
    }

    private static long units(int prefix, int length) {
        return Integer.toUnsignedLong(prefix) >>> (ADDRESS_BITS - length);
    }

    private static void writeNumber(ByteArrayOutputStream out, long number) {
        long rest = number;
        while (rest >= MORE) {
            out.write((int) (rest & (MORE - 1)) | MORE);
            rest >>>= PAYLOAD_BITS;
        }
        out.write((int) rest);
    }

    private static long readNumber(ByteBuffer in) {
        long number = 0;
        for (int shift = 0; shift <= ADDRESS_BITS; shift += PAYLOAD_BITS) {
            byte next = in.get();
            number |= (long) (next & (MORE - 1)) << shift;
            if (next >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("number too long");
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BlockSegment that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    @Override
    public String toString() {
        return "BlockSegment[blocks=" + size + ", bytes=" + bytes.length + "]";
    }
}
