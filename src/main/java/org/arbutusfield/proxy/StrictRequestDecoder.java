package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.arbutusfield.http.PacedDecoding;

/**
 * Decodes requests and rejects heads that another HTTP implementation might frame differently: both Content-Length and
 * Transfer-Encoding, a repeated Content-Length, folded header lines, whitespace before the colon of a header field.
 */
final class StrictRequestDecoder extends HttpRequestDecoder implements PacedDecoding.Decoder {
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final byte LF = '\n';
    private static final byte CR = '\r';

    private final Runnable headStarted;
    private boolean inHead = true;
    private boolean receivingHead;
    /** True once a head was rejected; what follows can't be told from the rest of it. */
    private boolean rejected;

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
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (inHead) {
            if (!receivingHead && buffer.isReadable()) {
                receivingHead = true;
                headStarted.run();
            }
            rejectFoldedLines(buffer);
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        decodedMessages += out.size() - before;
        if (out.size() > before) {
            receivingHead = false;
            heads += out.get(before) instanceof HttpRequest ? 1 : 0;
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
            throw new IllegalArgumentException("unsupported HTTP version " + message.protocolVersion());
        }
        return message;
    }

    private void rejectFoldedLines(ByteBuf buffer) {
        int lineStart = buffer.readerIndex();
        int end = buffer.writerIndex();
        while (lineStart < end) {
            byte first = buffer.getByte(lineStart);
            if (first == ' ' || first == '\t') {
                rejected = true;
                buffer.skipBytes(buffer.readableBytes());
                throw new IllegalArgumentException("a line of the request head begins with whitespace");
            }
            int lineEnd = buffer.indexOf(lineStart, end, LF);
            if (lineEnd < 0 || isEmptyLine(buffer, lineStart, lineEnd)) {
                return;
            }
            lineStart = lineEnd + 1;
        }
    }

    private static boolean isEmptyLine(ByteBuf buffer, int start, int end) {
        return end == start || (end == start + 1 && buffer.getByte(start) == CR);
    }
}
