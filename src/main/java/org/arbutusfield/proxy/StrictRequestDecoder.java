package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and refuses heads that another HTTP implementation might frame differently: both lengths, a length
 * given twice, folded header lines, whitespace before a header's colon.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final byte LF = '\n';
    private static final byte CR = '\r';

    private final Runnable headStarted;
    private boolean inHead = true;
    private boolean midHead;

    private StrictRequestDecoder(HttpDecoderConfig config, Runnable headStarted) {
        super(config);
        this.headStarted = headStarted;
    }

    /**
     * A decoder for one connection.
     *
     * @param maxHeadBytes limit on the request line, and on the header section
     * @param headStarted called when the first byte of a request was received
     */
    static StrictRequestDecoder create(int maxHeadBytes, Runnable headStarted) {
        return new StrictRequestDecoder(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES),
                headStarted);
    }

    /** True when part of a request's head was received and not all of it. */
    boolean midHead() {
        return midHead;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (inHead) {
            if (!midHead && buffer.isReadable()) {
                midHead = true;
                headStarted.run();
            }
            refuseFolding(buffer);
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        if (out.size() > before) {
            midHead = false;
            inHead = out.get(out.size() - 1) instanceof LastHttpContent;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both content-length and transfer-encoding");
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        HttpMessage message = super.createMessage(initialLine);
        if (message.protocolVersion().majorVersion() != HttpVersion.HTTP_1_1.majorVersion()) {
            throw new IllegalArgumentException("version " + message.protocolVersion());
        }
        return message;
    }

    private static void refuseFolding(ByteBuf buffer) {
        int lineStart = buffer.readerIndex();
        int end = buffer.writerIndex();
        while (lineStart < end) {
            byte first = buffer.getByte(lineStart);
            if (first == ' ' || first == '\t') {
                throw new IllegalArgumentException("a line of the head begins with whitespace");
            }
            int lineEnd = buffer.indexOf(lineStart, end, LF);
            if (lineEnd < 0 || emptyLine(buffer, lineStart, lineEnd)) {
                return;
            }
            lineStart = lineEnd + 1;
        }
    }

    private static boolean emptyLine(ByteBuf buffer, int start, int end) {
        return end == start || (end == start + 1 && buffer.getByte(start) == CR);
    }
}
