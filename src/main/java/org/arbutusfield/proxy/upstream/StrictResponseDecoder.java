package org.arbutusfield.proxy.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses, takes into account the method of the request, and reports whether bytes beyond the response were
 * received.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private boolean headRequest;

    private StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    static StrictResponseDecoder create() {
        return new StrictResponseDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Sets the method of the request to which the next response belongs. */
    void expectResponseTo(HttpMethod method) {
        headRequest = method.equals(HttpMethod.HEAD);
    }

    /** Bytes received and not yet decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both content-length and transfer-encoding");
    }
}
