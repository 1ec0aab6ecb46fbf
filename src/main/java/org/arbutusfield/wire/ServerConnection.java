package org.arbutusfield.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Envelope;

/**
 * The server side of one connection.
 *
 * <p>A message that cannot be handled is refused, and the connection stays open. Bytes that are not an envelope and
 * frames above the size limit cannot be matched to a request: a refusal with correlation id 0 is sent and the
 * connection is closed.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger(ServerConnection.class);
    private static final long NO_CORRELATION_ID = 0;

    private final ControlHandlers handlers;
    private final int maxInFlight;
    private int inFlight;

    ServerConnection(ControlHandlers handlers, int maxInFlight) {
        this.handlers = handlers;
        this.maxInFlight = maxInFlight;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object frame) {
        Either<Failure, Envelope> decoded = EnvelopeCodec.decode(FrameCodec.content((ByteBuf) frame));
        if (decoded.isLeft()) {
            fail(ctx, decoded.getLeft());
            return;
        }
        Envelope envelope = decoded.get();
        if (envelope.getKind() == EnvelopeKind.RESPONSE.code()) {
            LOG.warn("event=control_message_dropped code={} kind=response", ErrorCode.PEER_PROTOCOL);
            return;
        }
        serve(ctx, envelope);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            Channels.close(ctx.channel());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            fail(ctx, Failure.of(ErrorCode.FRAME_TOO_LARGE));
            return;
        }
        LOG.info("event=control_connection_lost detail=\"{}\"", cause.toString());
        Channels.close(ctx.channel());
    }

    private void serve(ChannelHandlerContext ctx, Envelope envelope) {
        boolean wantsResponse = envelope.getKind() == EnvelopeKind.REQUEST.code();
        if (inFlight >= maxInFlight) {
            if (wantsResponse) {
                respond(ctx, envelope.getCorrelationId(), Either.left(Failure.of(ErrorCode.PEER_BUSY)));
            }
            return;
        }
        inFlight++;
        CompletableFuture<Either<Failure, ControlMessage>> unused = handlers.handle(envelope.getMessage())
                .whenComplete((result, fault) -> ctx.executor().execute(() -> {
                    inFlight--;
                    if (wantsResponse) {
                        respond(ctx, envelope.getCorrelationId(), fault == null ? result : internalFailure(fault));
                    }
                }));
    }

    private static Either<Failure, ControlMessage> internalFailure(Throwable fault) {
        LOG.error("event=control_handler_failed", fault);
        return Either.left(Failure.of(ErrorCode.INTERNAL));
    }

    private static void respond(ChannelHandlerContext ctx, long correlationId, Either<Failure, ControlMessage> result) {
        ControlMessage message = result.fold(ServerConnection::refusal, response -> response);
        EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.RESPONSE, correlationId, message))
                .peek(bytes -> Channels.send(ctx.channel(), bytes))
                .peekLeft(failure -> respond(ctx, correlationId, Either.left(failure)));
    }

    private static void fail(ChannelHandlerContext ctx, Failure failure) {
        LOG.warn("event=control_frame_refused code={} detail=\"{}\"", failure.code(), failure.detail());
        EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.RESPONSE, NO_CORRELATION_ID, refusal(failure)))
                .peek(bytes -> Channels.sendLast(ctx.channel(), bytes));
    }

    private static ControlMessage refusal(Failure failure) {
        return ControlMessage.refusal(RefusalCodec.encode(failure));
    }
}
