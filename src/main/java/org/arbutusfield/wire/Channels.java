package org.arbutusfield.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * Operations on channels whose result need not be checked: a failed write closes its channel, and the close is reported
 * to the handlers.
 */
final class Channels {
    private Channels() {}

    /** Closes a channel; idempotent. */
    static void close(Channel channel) {
        ChannelFuture unused = channel.close();
    }

    /** Sends a frame. */
    static void send(Channel channel, byte[] content) {
        ChannelFuture unused =
                channel.writeAndFlush(FrameCodec.frame(content)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Sends a frame and closes the channel after it. */
    static void sendLast(Channel channel, byte[] content) {
        ChannelFuture unused =
                channel.writeAndFlush(FrameCodec.frame(content)).addListener(ChannelFutureListener.CLOSE);
    }
}
