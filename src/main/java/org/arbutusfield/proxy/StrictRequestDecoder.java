package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import org.arbutusfield.http.MessageCheck;
import org.arbutusfield.http.PacedDecoding;

/**
 * Decodes requests, and rejects those that another HTTP implementation might read differently: what
 * {@link MessageCheck} finds malformed is not decoded, and neither is anything after it, since that can't be told from
 * the rest of it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder implements PacedDecoding.Decoder {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Runnable headStarted;
    private final MessageCheck check = MessageCheck.ofRequests();
    private boolean receivingHead;
    private int heads;
    private long decodedMessages;

    private StrictRequestDecoder(HttpDecoderConfig config, Runnable headStarted) {
        super(config);
        setSingleDecode(true);
        this.headStarted = headStarted;
    }

    /**
     * Creates a decoder for one connection.
     *
     * @param maxHeadBytes maximum bytes of the request line, and of the header section
     * @param headStarted called when the first byte of a request is received
     */
    static StrictRequestDecoder create(int maxHeadBytes, Runnable headStarted) {
        return new StrictRequestDecoder(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES),
                headStarted);
    }

    /** True if part of a request's head was received, but not all of it. */
    boolean receivingHead() {
        return receivingHead;
    }

    /** Number of request heads decoded. */
    int heads() {
        return heads;
    }

    /** True if bytes were received after the last message that was decoded. */
    boolean holdsBytes() {
        return undecodedBytes() > 0;
    }

    @Override
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    public long decodedMessages() {
        return decodedMessages;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (check.fault().isPresent()) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        boolean inHead = check.inHead();
        if (inHead && !receivingHead && buffer.isReadable()) {
            receivingHead = true;
            headStarted.run();
        }
        int before = out.size();
        if (check.passes(buffer)) {
            int undecoded = buffer.readableBytes();
            super.decode(ctx, buffer, out);
            check.decoded(undecoded - buffer.readableBytes(), out.size() > before ? out.get(out.size() - 1) : null);
        } else {
            buffer.skipBytes(buffer.readableBytes());
            out.add(check.malformed(
                    inHead ? createInvalidMessage() : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)));
        }
        decodedMessages += out.size() - before;
        if (out.size() > before) {
            receivingHead = false;
            heads += out.get(before) instanceof HttpRequest ? 1 : 0;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return check.hasNoBody();
    }
}
