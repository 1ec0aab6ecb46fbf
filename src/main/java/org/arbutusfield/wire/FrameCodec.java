package org.arbutusfield.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.nio.ByteBuffer;

/** Frames on a connection: a length field of four bytes, big-endian, then the content. */
final class FrameCodec {
    private static final int LENGTH_BYTES = Integer.BYTES;

    private FrameCodec() {}

    /** Adds the traffic counter and the decoder, which splits the stream into frames and strips their length fields. */
    static void install(ChannelPipeline pipeline, TrafficCounter traffic) {
        pipeline.addLast("traffic", traffic);
        pipeline.addLast(
                "frames",
                new LengthFieldBasedFrameDecoder(ControlLimits.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    }

    /** The content as a frame. */
    static ByteBuf frame(byte[] content) {
        byte[] length = ByteBuffer.allocate(LENGTH_BYTES).putInt(content.length).array();
        return Unpooled.wrappedBuffer(length, content);
    }

    /** The content of a received frame; releases the buffer. */
    static byte[] content(ByteBuf frame) {
        try {
            return ByteBufUtil.getBytes(frame);
        } finally {
            frame.release();
        }
    }
}
