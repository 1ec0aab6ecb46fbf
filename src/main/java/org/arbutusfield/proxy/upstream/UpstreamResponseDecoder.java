package org.arbutusfield.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.List;
import org.arbutusfield.http.PacedDecoding;
import org.arbutusfield.http.StrictResponseDecoder;

/**
 * Decodes the responses of an upstream one message at a time, and reports what ended a response and whether bytes
 * beyond it were received.
 */
final class UpstreamResponseDecoder extends StrictResponseDecoder implements PacedDecoding.Decoder {
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private long decodedMessages;
    private boolean inputEnded;
    private boolean endedByConnection;

    private UpstreamResponseDecoder(HttpDecoderConfig config) {
        super(config);
        setSingleDecode(true);
    }

    static UpstreamResponseDecoder create() {
        return new UpstreamResponseDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    @Override
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    public long decodedMessages() {
        return decodedMessages;
    }

    /** True once the upstream's end of input was read, which an error or a close by this host is not. */
    boolean inputEnded() {
        return inputEnded;
    }

    /** True once a response was ended by the end of its connection, because it has neither a length nor chunks. */
    boolean endedByConnection() {
        return endedByConnection;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        super.decode(ctx, in, out);
        decodedMessages += out.size() - before;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        super.decodeLast(ctx, in, out);
        endedByConnection |= out.size() > before;
    }
}
