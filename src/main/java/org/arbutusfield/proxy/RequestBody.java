package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The body of a request in transit: parts not yet sent, and sent parts that are kept for a retry while the body is
 * small. Confined to the request's event loop.
 */
final class RequestBody {
    private static final int COALESCE_BYTES = 4 << 10;

    private final int maxKeptBytes;
    private final BufferBudget budget;
    private final Deque<ByteBuf> unsent = new ArrayDeque<>();
    private final List<ByteBuf> sent = new ArrayList<>(0);
    private ByteBuf coalescing;
    private long received;
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
        if (!head.upload()) {
            return !head.hasBody() || !budget.exhausted();
        }
        long most = Math.min(maxKeptBytes, head.length().orElse(maxKeptBytes));
        if (!budget.tryAdd(most)) {
            return false;
        }
        reserved = most;
        return true;
    }

    /**
     * Takes ownership of a part. Small parts are copied together, so that they do not retain the large buffers into
     * which they were read.
     */
    void add(ByteBuf part) {
        int bytes = part.readableBytes();
        received += bytes;
        addHeld(bytes);
        if (bytes >= COALESCE_BYTES) {
            unsent.add(part);
            coalescing = null;
        } else {
            coalesce(part);
        }
        if (received > maxKeptBytes) {
            discardSent();
        }
    }

    void end() {
        ended = true;
    }

    /** True if the last part was received. */
    boolean ended() {
        return ended;
    }

    boolean hasUnsent() {
        return !unsent.isEmpty();
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

    /** Removes the next part to send and transfers its ownership. */
    ByteBuf next() {
        ByteBuf part = unsent.remove();
        coalescing = null;
        if (received > maxKeptBytes) {
            replayable = false;
            addHeld(-part.readableBytes());
            return part;
        }
        sent.add(part);
        return part.retainedDuplicate();
    }

    /** Queues all parts to be sent again; the body must be replayable. */
    void rewind() {
        for (int i = sent.size() - 1; i >= 0; i--) {
            unsent.addFirst(sent.get(i));
        }
        sent.clear();
    }

    /** A copy of all bytes received; the body must be {@link #fullyKept}. */
    byte[] bytes() {
        byte[] all = new byte[(int) received];
        int position = 0;
        for (ByteBuf part : sent) {
            position += copy(part, all, position);
        }
        for (ByteBuf part : unsent) {
            position += copy(part, all, position);
        }
        return all;
    }

    private static int copy(ByteBuf part, byte[] target, int position) {
        int length = part.readableBytes();
        part.getBytes(part.readerIndex(), target, position, length);
        return length;
    }

    private void coalesce(ByteBuf part) {
        int bytes = part.readableBytes();
        if (bytes > 0 && (coalescing == null || coalescing.writableBytes() < bytes)) {
            coalescing = Unpooled.buffer(Math.max(bytes, Math.min(COALESCE_BYTES, maxKeptBytes)));
            unsent.add(coalescing);
        }
        if (bytes > 0) {
            coalescing.writeBytes(part);
        }
        part.release();
    }

    void release() {
        discardSent();
        unsent.forEach(ByteBuf::release);
        unsent.clear();
        addHeld(-held);
        budget.remove(reserved);
        reserved = 0;
    }

    private void discardSent() {
        replayable &= sent.isEmpty();
        for (ByteBuf part : sent) {
            addHeld(-part.readableBytes());
            part.release();
        }
        sent.clear();
    }

    private void addHeld(long bytes) {
        long counted = Math.max(held, reserved);
        held += bytes;
        budget.add(Math.max(held, reserved) - counted);
    }
}
