package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The body of a request on its way: parts not sent yet, and parts kept for another try while the whole is small.
 * Confined to the request's event loop.
 */
final class RequestBody {
    private static final int GATHER_BYTES = 4 << 10;

    private final int keepBytes;
    private final BufferBudget budget;
    private final Deque<ByteBuf> unsent = new ArrayDeque<>();
    private final List<ByteBuf> sent = new ArrayList<>(0);
    private ByteBuf gathering;
    private long received;
    private long held;
    private boolean ended;
    private boolean complete = true;

    private RequestBody(int keepBytes, BufferBudget budget) {
        this.keepBytes = keepBytes;
        this.budget = budget;
    }

    static RequestBody of(int keepBytes, BufferBudget budget) {
        return new RequestBody(keepBytes, budget);
    }

    /** Takes over a part. Small parts are gathered, so that they do not keep the large buffers they were read into. */
    void add(ByteBuf part) {
        int bytes = part.readableBytes();
        received += bytes;
        hold(bytes);
        if (bytes >= GATHER_BYTES) {
            unsent.add(part);
            gathering = null;
        } else {
            gather(part);
        }
        if (received > keepBytes) {
            forgetSent();
        }
    }

    void end() {
        ended = true;
    }

    /** True when the last part was received. */
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

    /** True when all bytes received so far can be sent again. */
    boolean replayable() {
        return complete;
    }

    /** True when the whole body was received and kept. */
    boolean whole() {
        return ended && complete;
    }

    /** True when more than is kept for another try was received. */
    boolean beyondKept() {
        return received > keepBytes;
    }

    /** The next part to send, handed over. */
    ByteBuf next() {
        ByteBuf part = unsent.remove();
        gathering = null;
        if (received > keepBytes) {
            complete = false;
            hold(-part.readableBytes());
            return part;
        }
        sent.add(part);
        return part.retainedDuplicate();
    }

    /** Puts everything back to be sent again; the body must be replayable. */
    void rewind() {
        for (int i = sent.size() - 1; i >= 0; i--) {
            unsent.addFirst(sent.get(i));
        }
        sent.clear();
    }

    /** The bytes received and kept, copied. */
    byte[] bytes() {
        byte[] all = new byte[(int) received];
        int at = 0;
        for (ByteBuf part : unsent) {
            int length = part.readableBytes();
            part.getBytes(part.readerIndex(), all, at, length);
            at += length;
        }
        return all;
    }

    private void gather(ByteBuf part) {
        int bytes = part.readableBytes();
        if (bytes > 0 && (gathering == null || gathering.writableBytes() < bytes)) {
            gathering = Unpooled.buffer(Math.max(bytes, Math.min(GATHER_BYTES, keepBytes)));
            unsent.add(gathering);
        }
        if (bytes > 0) {
            gathering.writeBytes(part);
        }
        part.release();
    }

    void release() {
        forgetSent();
        unsent.forEach(ByteBuf::release);
        unsent.clear();
        hold(-held);
    }

    private void forgetSent() {
        complete &= sent.isEmpty();
        for (ByteBuf part : sent) {
            hold(-part.readableBytes());
            part.release();
        }
        sent.clear();
    }

    private void hold(long bytes) {
        held += bytes;
        budget.add(bytes);
    }
}
