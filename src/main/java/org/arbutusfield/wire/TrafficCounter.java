package org.arbutusfield.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes and frames of all connections of a client or server. */
@ChannelHandler.Sharable
public final class TrafficCounter extends ChannelDuplexHandler {
    private final LongAdder bytesReceived = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder framesSent = new LongAdder();

    TrafficCounter() {}

    /** Bytes received so far, including length fields. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Bytes sent so far, including length fields. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Frames sent so far. */
    public long framesSent() {
        return framesSent.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            bytesReceived.add(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            bytesSent.add(bytes.readableBytes());
            framesSent.increment();
        }
        ctx.write(message, promise);
    }
}
