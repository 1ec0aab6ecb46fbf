package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;

/**
 * The body of a request in transit: what wasn't sent yet, and what was sent and is kept for a retry while the body is
 * small. Confined to the request's event loop.
 *
 * <p>Problem: a body may arrive in parts of a few bytes. A buffer for each of them holds many times its bytes, and so
 * does a short slice of the large buffer into which it was read.
 *
 * <p>Idea: the body is a list of blocks. A part that fills most of its own buffer is a block; any other is copied into
 * the last block, whether or not that was sent already, and a new block is begun only when the last one is full. What
 * is sent is a slice of a block.
 *
 * <p>Invariants: the host's budget counts the memory of all blocks, not their bytes. The memory of a block is at most
 * twice its bytes, except for the last block. A block is released once it was sent and nothing can be added to it,
 * unless it is kept for a retry.
 *
 * <p>Example: 60,000 bytes arrive in 469 parts of 128 bytes, each of which is sent at once. They are kept in 15 blocks
 * of 4 KB, of which the last is 2 KB full.
 */
final class RequestBody {
    private static final int BLOCK_BYTES = 4 << 10;
    /** Memory of the objects of one block. */
    private static final int BLOCK_OBJECT_BYTES = 128;

    private final int maxKeptBytes;
    private final BufferBudget budget;
    private final List<ByteBuf> blocks = new ArrayList<>(2);
    /** Index of the first block with bytes that weren't sent. */
    private int unsentBlock;
    /** Bytes of that block that were sent. */
    private int sentOfBlock;
    /** The last block if parts can be added to it, else null. */
    private ByteBuf joining;

    private long expectedBytes = Long.MAX_VALUE;
    private long received;
    private long sentBytes;
    private long held;
    private long reserved;
    private boolean ended;
    private boolean replayable = true;

    private RequestBody(int maxKeptBytes, BufferBudget budget) {
        this.maxKeptBytes = maxKeptBytes;
        this.budget = budget;
    }

    static RequestBody of(int maxKeptBytes, BufferBudget budget) {
        return new RequestBody(maxKeptBytes, budget);
    }

    /**
     * Returns false if the host's buffers have no room for the body. An upload reserves the most that it may hold, and
     * what it holds counts only beyond that: uploads that start together would otherwise find the buffers empty.
     */
    boolean acquireBuffers(RequestHead head) {
        expectedBytes = head.length().orElse(Long.MAX_VALUE);
        if (!head.upload()) {
            return !head.hasBody() || !budget.exhausted();
        }
        long most = Math.min(maxKeptBytes, expectedBytes);
        if (!budget.tryAdd(most)) {
            return false;
        }
        reserved = most;
        return true;
    }

    /**
     * Takes ownership of a part of the body as it was received.
     *
     * @param maxBytes maximum bytes of the body
     * @return why the request must end, if it must
     */
    Optional<ErrorCode> receive(HttpContent part, long maxBytes) {
        boolean broken = part.decoderResult().isFailure();
        add(part.content());
        ended |= part instanceof LastHttpContent && !broken;
        if (broken) {
            return Optional.of(ErrorCode.REQUEST_MALFORMED);
        }
        if (received > maxBytes) {
            return Optional.of(ErrorCode.REQUEST_TOO_LARGE);
        }
        return relieveBuffers() ? Optional.empty() : Optional.of(ErrorCode.OVERLOADED);
    }

    /** Takes ownership of a part. */
    void add(ByteBuf part) {
        int bytes = part.readableBytes();
        received += bytes;
        if (bytes == 0) {
            part.release();
        } else if (bytes >= BLOCK_BYTES && BufferCompaction.isCompact(part)) {
            joining = null;
            addBlock(part);
        } else {
            join(part);
        }
        skipSentBlocks();
    }

    /** True if the last part was received. */
    boolean ended() {
        return ended;
    }

    boolean hasUnsent() {
        return unsentBlock < blocks.size()
                && sentOfBlock < blocks.get(unsentBlock).readableBytes();
    }

    /** Bytes received and not sent. */
    long unsentBytes() {
        return received - sentBytes;
    }

    /** Bytes received. */
    long received() {
        return received;
    }

    /** True if all bytes received so far can be sent again. */
    boolean replayable() {
        return replayable;
    }

    /** True if the complete body was received and kept. */
    boolean fullyKept() {
        return ended && replayable;
    }

    /** True if more bytes were received than are kept for a retry. */
    boolean tooLargeToKeep() {
        return received > maxKeptBytes;
    }

    /** Returns the next bytes to send and transfers their ownership; there must be some. */
    ByteBuf next() {
        ByteBuf block = blocks.get(unsentBlock);
        int length = block.readableBytes() - sentOfBlock;
        ByteBuf slice = block.retainedSlice(block.readerIndex() + sentOfBlock, length);
        sentOfBlock += length;
        sentBytes += length;
        skipSentBlocks();
        return slice;
    }

    /** Starts to send all bytes again; the body must be replayable. */
    void rewind() {
        unsentBlock = 0;
        sentOfBlock = 0;
        sentBytes = 0;
    }

    /**
     * Gives up what is kept for a retry if the host's buffers hold more than their limit.
     *
     * @return false if they still do, and the body has no reservation of its own
     */
    private boolean relieveBuffers() {
        if (budget.withinLimit()) {
            return true;
        }
        dropSentBlocks();
        return reserved > 0 || budget.withinLimit();
    }

    /** A copy of all bytes received; the body must be {@link #fullyKept}. */
    byte[] bytes() {
        byte[] all = new byte[(int) received];
        int position = 0;
        for (ByteBuf block : blocks) {
            int length = block.readableBytes();
            block.getBytes(block.readerIndex(), all, position, length);
            position += length;
        }
        return all;
    }

    void release() {
        blocks.forEach(ByteBuf::release);
        blocks.clear();
        joining = null;
        rewind();
        replayable = false;
        addHeld(-held);
        budget.remove(reserved);
        reserved = 0;
    }

    private void join(ByteBuf part) {
        while (part.isReadable()) {
            if (joining == null || !joining.isWritable()) {
                beginBlock(part.readableBytes());
            }
            joining.writeBytes(part, Math.min(part.readableBytes(), joining.writableBytes()));
        }
        part.release();
    }

    private void beginBlock(int bytes) {
        long toCome = Math.max(bytes, expectedBytes - received + bytes);
        int capacity = (int) Math.min(BLOCK_BYTES, toCome);
        joining = Unpooled.buffer(capacity, capacity);
        addBlock(joining);
    }

    private void addBlock(ByteBuf block) {
        blocks.add(block);
        addHeld(memory(block));
    }

    /**
     * Goes on to the first block with bytes to send, and gives up what was sent of a body that is too large to keep.
     */
    private void skipSentBlocks() {
        while (unsentBlock < blocks.size() && sentCompletely(unsentBlock)) {
            unsentBlock++;
            sentOfBlock = 0;
        }
        if (tooLargeToKeep()) {
            dropSentBlocks();
        }
    }

    private boolean sentCompletely(int block) {
        boolean open = block == blocks.size() - 1 && joining != null && joining.isWritable();
        return !open && sentOfBlock == blocks.get(block).readableBytes();
    }

    private void dropSentBlocks() {
        replayable &= unsentBlock == 0 && sentOfBlock == 0;
        List<ByteBuf> sentBlocks = blocks.subList(0, unsentBlock);
        for (ByteBuf block : sentBlocks) {
            addHeld(-memory(block));
            block.release();
        }
        sentBlocks.clear();
        unsentBlock = 0;
    }

    private static long memory(ByteBuf block) {
        return BufferCompaction.memory(block) + BLOCK_OBJECT_BYTES;
    }

    private void addHeld(long bytes) {
        long counted = Math.max(held, reserved);
        held += bytes;
        budget.add(Math.max(held, reserved) - counted);
    }
}
