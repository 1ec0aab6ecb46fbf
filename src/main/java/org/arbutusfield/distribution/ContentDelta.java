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
 * <p>Problem: a note changes a few items of a state of many megabytes, thousands of times a day; sending the state each
 * time would cost each host far more than its share of the network. The content's format isn't known here.
 *
 * <p>Idea: equal heads and tails are found by comparing; between them every aligned block of the base is indexed by a
 * hash, and a hash of the same width rolls over the target one byte at a time. Where it meets an indexed block whose
 * bytes are equal too, the match is extended forwards and becomes a copy; what lies between copies is inserted.
 *
 * <p>Invariants: {@code apply(base, encode(base, target))} is {@code target}; whatever the delta's bytes, applying
 * reads and allocates only within its bounds, and the receiver checks the result's digest.
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
    private static final int SLOTS_PER_BLOCK = 2;
    private static final byte COPY = 0;
    private static final byte INSERT = 1;

    private final byte[] base;
    private final byte[] target;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private ContentDelta(byte[] base, byte[] target) {
        this.base = base;
        this.target = target;
    }

    /** The delta that leads from the base to the target. */
    static byte[] encode(byte[] base, byte[] target) {
        ContentDelta delta = new ContentDelta(base, target);
        delta.number(target.length);
        delta.run();
        return delta.out.toByteArray();
    }

    /** The target of a delta, or {@code PEER_PROTOCOL} if the delta doesn't fit the base. */
    static Either<Failure, byte[]> apply(byte[] base, byte[] delta) {
        try {
            return replay(base, ByteBuffer.wrap(delta));
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return misfit(e.toString());
        }
    }

    private static Either<Failure, byte[]> replay(byte[] base, ByteBuffer delta) {
        int length = delta.getInt();
        if (length < 0 || length > MAX_CONTENT_BYTES) {
            return misfit("length " + length);
        }
        ByteBuffer target = ByteBuffer.allocate(length);
        while (delta.hasRemaining()) {
            byte operation = delta.get();
            int first = delta.getInt();
            if (operation == COPY) {
                target.put(base, first, checked(delta.getInt(), target));
            } else {
                int inserted = checked(first, target);
                target.put(delta.slice(delta.position(), inserted));
                delta.position(delta.position() + inserted);
            }
        }
        return target.hasRemaining() ? misfit("short") : Either.right(target.array());
    }

    private static int checked(int length, ByteBuffer target) {
        if (length < 0 || length > target.remaining()) {
            throw new IndexOutOfBoundsException(length);
        }
        return length;
    }

    private static Either<Failure, byte[]> misfit(String detail) {
        return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "delta", detail));
    }

    private void run() {
        int mismatch = Arrays.mismatch(base, target);
        int head = mismatch < 0 ? target.length : mismatch;
        int tail = 0;
        int most = Math.min(base.length, target.length) - head;
        while (tail < most && base[base.length - 1 - tail] == target[target.length - 1 - tail]) {
            tail++;
        }
        copy(0, head);
        middle(head, base.length - tail, target.length - tail);
        copy(base.length - tail, tail);
    }

    private void middle(int from, int baseEnd, int targetEnd) {
        int[] index = index(from, baseEnd);
        int pending = from;
        int at = from;
        int hash = 0;
        int hashed = -1;
        while (at + BLOCK_BYTES <= targetEnd && index.length > 0) {
            hash = hashed == at - 1 && at > from ? roll(hash, at) : hash(target, at);
            hashed = at;
            int match = index[slot(hash, index.length)] - 1;
            int length = match < 0 ? 0 : matching(match, baseEnd, at, targetEnd);
            if (length < BLOCK_BYTES) {
                at++;
                continue;
            }
            insert(pending, at);
            copy(match, length);
            at += length;
            pending = at;
            hashed = -1;
        }
        insert(pending, targetEnd);
    }

    private int[] index(int from, int end) {
        int blocks = Math.max(0, end - from) / BLOCK_BYTES;
        if (blocks == 0) {
            return new int[0];
        }
        int[] index = new int[Integer.highestOneBit(blocks) * 2 * SLOTS_PER_BLOCK];
        for (int block = 0; block < blocks; block++) {
            int at = from + block * BLOCK_BYTES;
            index[slot(hash(base, at), index.length)] = at + 1;
        }
        return index;
    }

    private int matching(int baseAt, int baseEnd, int targetAt, int targetEnd) {
        int mismatch = Arrays.mismatch(base, baseAt, baseEnd, target, targetAt, targetEnd);
        return mismatch < 0 ? Math.min(baseEnd - baseAt, targetEnd - targetAt) : mismatch;
    }

    private int roll(int hash, int at) {
        return hash * MULTIPLIER + target[at + BLOCK_BYTES - 1] - target[at - 1] * BLOCK_POWER;
    }

    private static int hash(byte[] bytes, int at) {
        int hash = 0;
        for (int i = 0; i < BLOCK_BYTES; i++) {
            hash = hash * MULTIPLIER + bytes[at + i];
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
            number(from);
            number(length);
        }
    }

    private void insert(int from, int end) {
        if (end > from) {
            out.write(INSERT);
            number(end - from);
            out.write(target, from, end - from);
        }
    }

    private void number(int value) {
        out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    }
}
