package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Keeps buffers that have to wait from holding much more memory than their bytes. A part of a message is a slice of the
 * buffer into which it was read, and a short slice keeps all of that buffer.
 */
final class BufferCompaction {
    /** Up to this multiple of its bytes, a buffer's memory is not worth a copy. */
    private static final int MAX_MEMORY_RATIO = 2;

    private BufferCompaction() {}

    /**
     * Takes ownership of a part, and returns it or a copy of its bytes. What is returned holds at most
     * {@link #MAX_MEMORY_RATIO} times its bytes.
     */
    static ByteBuf compact(ByteBuf part) {
        if (isCompact(part)) {
            return part;
        }
        int bytes = part.readableBytes();
        ByteBuf copy = part.alloc().buffer(bytes, bytes);
        copy.writeBytes(part);
        part.release();
        return copy;
    }

    /** True if the part holds at most {@link #MAX_MEMORY_RATIO} times its bytes. */
    static boolean isCompact(ByteBuf part) {
        return memory(part) <= (long) part.readableBytes() * MAX_MEMORY_RATIO;
    }

    /** Returns the size, in bytes, of the buffer that the part is a slice of. */
    static long memory(ByteBuf part) {
        ByteBuf root = part;
        while (root.unwrap() != null) {
            root = root.unwrap();
        }
        return root.capacity();
    }
}
