package org.arbutusfield.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vavr.control.Either;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.Envelope;

/**
 * Passes the envelopes that one channel receives to its {@link PeerConnection}; closes the channel on bytes that are
 * not an envelope.
 */
final class ClientChannelHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger(ClientChannelHandler.class);

    private final PeerConnection owner;

    ClientChannelHandler(PeerConnection owner) {
        this.owner = owner;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object frame) {
        Either<Failure, Envelope> decoded = EnvelopeCodec.decode(FrameCodec.content((ByteBuf) frame));
        if (decoded.isLeft()) {
            LOG.warn("event=control_frame_refused code={}", decoded.getLeft().code());
            Channels.close(ctx.channel());
            return;
        }
        owner.onEnvelope(ctx.channel(), decoded.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.onChannelClosed(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("event=control_connection_lost detail=\"{}\"", cause.toString());
        Channels.close(ctx.channel());
    }
}
