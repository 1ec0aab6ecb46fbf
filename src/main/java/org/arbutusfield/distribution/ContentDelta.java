package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The difference between two contents, as a list of ranges to copy from the base and bytes to insert.
 *
 * <p>Problem: a note changes a few items of a configuration of many megabytes, thousands of times a day; sending the
 * whole configuration each time would cost each host far more than its share of the network bandwidth. The format of
 * the content is not known here.
 *
 * <p>Idea: the common prefix and suffix are found by comparison. Between them, every aligned block of the base is
 * indexed by its hash, and a rolling hash over a window of the same size moves over the target one byte at a time.
 * Where it matches an indexed block and the bytes are equal too, the match is extended forward and becomes a copy; the
 * bytes between copies are inserted.
 *
 * <p>Invariants: {@code apply(base, encode(base, target))} is {@code target}; whatever bytes a delta contains, applying
 * it reads only within the base and the delta and allocates at most {@link #MAX_CONTENT_BYTES}; the receiver checks the
 * digest of the result.
 *
 * <p>Example: base {@code {"revision":7,...A...}}, target {@code {"revision":8,...B...}} with equal runs before,
 * between and after gives copy, insert {@code 8}, copy, insert {@code B}, copy.
 */
final class ContentDelta {
    /** Largest content, in bytes. */
    static final int MAX_CONTENT_BYTES = 64 << 20;

    private static final int BLOCK_BYTES = 32;
    private static final int MULTIPLIER = 0x01000193;
    private static final int BLOCK_POWER = power(MULTIPLIER, BLOCK_BYTES);
    private static final int INDEX_SLOTS_PER_BLOCK = 2;
    private static final byte COPY = 0;
    private static final byte INSERT = 1;

    private final byte[] base;
    private final byte[] target;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private ContentDelta(byte[] base, byte[] target) {
        this.base = base;
        this.target = target;
    }

    /** The delta from the base to the target. */
    static byte[] encode(byte[] base, byte[] target) {
        ContentDelta delta = new ContentDelta(base, target);
        delta.writeInt(target.length);
        delta.encodeTarget();
        return delta.out.toByteArray();
    }

    /**
     * Applies a delta to its base; fails with {@code PEER_PROTOCOL} if the delta is malformed or does not fit the base.
     */
    static Either<Failure, byte[]> apply(byte[] base, byte[] delta) {
        try {
            return decode(base, ByteBuffer.wrap(delta));
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return malformed(e.toString());
        }
    }

    private static Either<Failure, byte[]> decode(byte[] base, ByteBuffer delta) {
        int length = delta.getInt();
        if (length < 0 || length > MAX_CONTENT_BYTES) {
            return malformed("length " + length);
        }
        ByteBuffer target = ByteBuffer.allocate(length);
        while (delta.hasRemaining()) {
            byte operation = delta.get();
            int first = delta.getInt();
            if (operation == COPY) {
                target.put(base, first, checkLength(delta.getInt(), target));
            } else {
                int inserted = checkLength(first, target);
                target.put(delta.slice(delta.position(), inserted));
                delta.position(delta.position() + inserted);
            }
        }
        return target.hasRemaining() ? malformed("shorter than its length field") : Either.right(target.array());
    }

    private static int checkLength(int length, ByteBuffer target) {
        if (length < 0 || length > target.remaining()) {
            throw new IndexOutOfBoundsException(length);
        }
        return length;
    }

    private static Either<Failure, byte[]> malformed(String detail) {
        return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "delta", detail));
    }

    private void encodeTarget() {
        int mismatch = Arrays.mismatch(base, target);
        int prefix = mismatch < 0 ? target.length : mismatch;
        int suffix = 0;
        int maxSuffix = Math.min(base.length, target.length) - prefix;
        while (suffix < maxSuffix && base[base.length - 1 - suffix] == target[target.length - 1 - suffix]) {
            suffix++;
        }
        copy(0, prefix);
        encodeMiddle(prefix, base.length - suffix, target.length - suffix);
        copy(base.length - suffix, suffix);
    }

    private void encodeMiddle(int from, int baseEnd, int targetEnd) {
        int[] index = index(from, baseEnd);
        int insertFrom = from;
        int position = from;
        int hash = 0;
        int hashedPosition = -1;
        while (position + BLOCK_BYTES <= targetEnd && index.length > 0) {
            hash = hashedPosition == position - 1 && position > from ? roll(hash, position) : hash(target, position);
            hashedPosition = position;
            int match = index[slot(hash, index.length)] - 1;
            int length = match < 0 ? 0 : matchLength(match, baseEnd, position, targetEnd);
            if (length < BLOCK_BYTES) {
                position++;
                continue;
            }
            insert(insertFrom, position);
            copy(match, length);
            position += length;
            insertFrom = position;
            hashedPosition = -1;
        }
        insert(insertFrom, targetEnd);
    }

    private int[] index(int from, int end) {
        int blocks = Math.max(0, end - from) / BLOCK_BYTES;
        if (blocks == 0) {
            return new int[0];
        }
        int[] index = new int[Integer.highestOneBit(blocks) * 2 * INDEX_SLOTS_PER_BLOCK];
        for (int block = 0; block < blocks; block++) {
            int position = from + block * BLOCK_BYTES;
            index[slot(hash(base, position), index.length)] = position + 1;
        }
        return index;
    }

    private int matchLength(int basePosition, int baseEnd, int targetPosition, int targetEnd) {
        int mismatch = Arrays.mismatch(base, basePosition, baseEnd, target, targetPosition, targetEnd);
        return mismatch < 0 ? Math.min(baseEnd - basePosition, targetEnd - targetPosition) : mismatch;
    }

    private int roll(int hash, int position) {
        return hash * MULTIPLIER + target[position + BLOCK_BYTES - 1] - target[position - 1] * BLOCK_POWER;
    }

    private static int hash(byte[] bytes, int position) {
        int hash = 0;
        for (int i = 0; i < BLOCK_BYTES; i++) {
            hash = hash * MULTIPLIER + bytes[position + i];
        }
        return hash;
    }

    private static int power(int base, int exponent) {
        int power = 1;
        for (int i = 0; i < exponent; i++) {
            power *= base;
        }
        return power;
    }

    private static int slot(int hash, int slots) {
        return ((hash * 0x9e3779b1) >>> 7) & (slots - 1);
    }

    private void copy(int from, int length) {
        if (length > 0) {
            out.write(COPY);
            writeInt(from);
            writeInt(length);
        }
    }

    private void insert(int from, int end) {
        if (end > from) {
            out.write(INSERT);
            writeInt(end - from);
            out.write(target, from, end - from);
        }
    }

    private void writeInt(int value) {
        out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    }
}
