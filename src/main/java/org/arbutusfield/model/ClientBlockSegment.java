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
 * A sorted sequence of client blocks in the compact encoding that is also used in the store, a few bytes per block.
 *
 * <p>Encoding: the number of blocks; the names of the sites in use (their number, then length and UTF-8 bytes of each);
 * then for each block its prefix length in one byte, the distance of its first address from that of the previous block
 * in units of the block's own size, and the index of its site. All other numbers are unsigned base-128 varints, least
 * significant group first. Equal sequences have equal encodings.
 */
public final class ClientBlockSegment {
    private static final String SUBJECT = "block segment";
    private static final int ADDRESS_BITS = 32;
    private static final int CONTINUATION_BIT = 0x80;
    private static final int PAYLOAD_BITS = 7;
    private static final int MAX_SITE_NAME_BYTES = 64;

    private final byte[] bytes;
    private final String digest;
    private final List<String> sites;
    private final int size;
    private final int blocksOffset;
    private final long firstKey;

    private ClientBlockSegment(byte[] bytes, List<String> sites, int size, int blocksOffset, long firstKey) {
        this.bytes = bytes;
        this.digest = Digests.sha256(bytes);
        this.sites = sites;
        this.size = size;
        this.blocksOffset = blocksOffset;
        this.firstKey = firstKey;
    }

    /** Encodes one or more blocks, given as site names by prefix key. */
    static ClientBlockSegment encode(SortedMap<Long, String> blocks) {
        Map<String, Integer> siteIndexes = new LinkedHashMap<>();
        blocks.values().forEach(site -> siteIndexes.putIfAbsent(site, siteIndexes.size()));
        ByteArrayOutputStream out = new ByteArrayOutputStream(blocks.size() * 4);
        writeVarint(out, blocks.size());
        writeVarint(out, siteIndexes.size());
        for (String site : siteIndexes.keySet()) {
            byte[] name = site.getBytes(StandardCharsets.UTF_8);
            writeVarint(out, name.length);
            out.writeBytes(name);
        }
        int blocksOffset = out.size();
        int previous = 0;
        for (Map.Entry<Long, String> block : blocks.entrySet()) {
            int length = PrefixKey.length(block.getKey());
            int prefix = PrefixKey.prefixBits(block.getKey());
            out.write(length);
            writeVarint(out, inBlockUnits(prefix, length) - inBlockUnits(previous, length));
            writeVarint(out, siteIndexes.get(block.getValue()));
            previous = prefix;
        }
        return new ClientBlockSegment(
                out.toByteArray(), List.copyOf(siteIndexes.keySet()), blocks.size(), blocksOffset, blocks.firstKey());
    }

    /**
     * Decodes a segment and validates every block. The bytes are not copied.
     *
     * @return the segment, or {@code STORE_CORRUPT}
     */
    public static Either<Failure, ClientBlockSegment> decode(byte[] bytes) {
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

    /** The encoded form; must not be modified. */
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

    /** Visits every block in order of first address, shorter prefixes first. */
    public void forEach(ClientBlockVisitor visitor) {
        ByteBuffer in = ByteBuffer.wrap(bytes).position(blocksOffset);
        long previous = 0;
        for (int i = 0; i < size; i++) {
            int length = in.get();
            previous = nextPrefix(previous, length, readVarint(in));
            visitor.visit((int) previous, length, sites.get((int) readVarint(in)));
        }
    }

    /** Prefix key of the first block. */
    long firstKey() {
        return firstKey;
    }

    /** Decodes the blocks to site names by prefix key. */
    SortedMap<Long, String> sitesByKey() {
        SortedMap<Long, String> blocks = new TreeMap<>();
        forEach((prefix, length, site) -> blocks.put(PrefixKey.of(prefix, length), site));
        return blocks;
    }

    private static ClientBlockSegment parse(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        long size = readVarint(in);
        long siteCount = readVarint(in);
        require(
                size > 0 && size <= bytes.length && siteCount > 0 && siteCount <= size,
                "invalid counts of blocks or sites");
        List<String> sites = new ArrayList<>();
        for (long i = 0; i < siteCount; i++) {
            long length = readVarint(in);
            require(length <= MAX_SITE_NAME_BYTES, "site name too long");
            byte[] name = new byte[(int) length];
            in.get(name);
            sites.add(new String(name, StandardCharsets.UTF_8).intern());
        }
        int blocksOffset = in.position();
        long firstKey = validateBlocks(in, size, siteCount);
        return new ClientBlockSegment(bytes, List.copyOf(sites), (int) size, blocksOffset, firstKey);
    }

    private static long validateBlocks(ByteBuffer in, long size, long siteCount) {
        long previous = 0;
        long lastKey = -1;
        long firstKey = -1;
        for (long i = 0; i < size; i++) {
            int length = in.get();
            require(length >= 0 && length <= ADDRESS_BITS, "invalid prefix length");
            previous = nextPrefix(previous, length, readVarint(in));
            require(previous >>> ADDRESS_BITS == 0 && readVarint(in) < siteCount, "invalid address or site index");
            long key = PrefixKey.of((int) previous, length);
            require(key > lastKey, "blocks out of order");
            firstKey = i == 0 ? key : firstKey;
            lastKey = key;
        }
        require(!in.hasRemaining(), "trailing bytes after the last block");
        return firstKey;
    }

    private static long nextPrefix(long previous, int length, long distance) {
        int shift = ADDRESS_BITS - length;
        return ((previous >>> shift) + distance) << shift;
    }

    private static long inBlockUnits(int prefix, int length) {
        return Integer.toUnsignedLong(prefix) >>> (ADDRESS_BITS - length);
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long remaining = value;
        while (remaining >= CONTINUATION_BIT) {
            out.write((int) (remaining & (CONTINUATION_BIT - 1)) | CONTINUATION_BIT);
            remaining >>>= PAYLOAD_BITS;
        }
        out.write((int) remaining);
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift <= ADDRESS_BITS; shift += PAYLOAD_BITS) {
            byte nextByte = in.get();
            value |= (long) (nextByte & (CONTINUATION_BIT - 1)) << shift;
            if (nextByte >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("number too long");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClientBlockSegment that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    @Override
    public String toString() {
        return "ClientBlockSegment[blocks=" + size + ", bytes=" + bytes.length + "]";
    }
}
