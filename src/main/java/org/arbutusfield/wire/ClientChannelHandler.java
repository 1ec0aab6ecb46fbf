package org.arbutusfield.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vavr.control.Either;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.Envelope;

/** Hands what one channel receives to its {@link PeerConnection}; closes the channel on bytes that are no envelope. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger(ClientConnection.class);

    private final PeerConnection owner;

    ClientConnection(PeerConnection owner) {
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
        owner.received(ctx.channel(), decoded.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.lost(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("event=control_connection_lost detail=\"{}\"", cause.toString());
        Channels.close(ctx.channel());
    }
}
