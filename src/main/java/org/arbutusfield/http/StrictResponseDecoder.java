package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;

/**
 * Decodes responses and rejects those whose head isn't one of HTTP.
 *
 * <p>Problem: the decoder that this one extends is lenient with responses. Any number is a status, and a blank ends the
 * name of a field, so the decoded head may be sound where the received one isn't.
 *
 * <p>Idea: each line of a head is checked as it was received, before it is decoded.
 *
 * <p>Invariants: a response with a malformed line in its head is passed on as a message whose decoding has failed, and
 * nothing after it is decoded. The result doesn't depend on how the bytes are divided among reads.
 *
 * <p>Example: {@code Content-Length x: 5} would be decoded as {@code Content-Length: 5}, and the next five bytes as the
 * body. Here the name of the field isn't a token, so the response is malformed.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final byte LF = '\n';
    private static final byte CR = '\r';
    private static final byte FIRST_OF_HEAD = 'H';

    private boolean inHead = true;
    /** What the next line of the head has to be. */
    private HeadLine expected = HeadLine.STATUS_LINE;

    private boolean rejected;
    /** Set by the thread that sends the request, which may be another one. */
    private volatile boolean headRequest;

    /** Creates a decoder with these limits. */
    protected StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Creates the decoder of one connection, with the default limits. */
    static StrictResponseDecoder create() {
        return new StrictResponseDecoder(new HttpDecoderConfig());
    }

    /** Sets the method of the request to which the next response belongs. */
    public void expectResponseTo(HttpMethod method) {
        headRequest = method.equals(HttpMethod.HEAD);
    }

    /** What the malformed line should have been; empty unless a response was rejected for one. */
    public Optional<HeadLine> malformedLine() {
        return rejected ? Optional.of(expected) : Optional.empty();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (rejected) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (inHead && findMalformedLine(in)) {
            rejected = true;
            in.skipBytes(in.readableBytes());
            out.add(malformedMessage());
            return;
        }
        int before = out.size();
        super.decode(ctx, in, out);
        if (out.size() > before) {
            inHead = out.get(out.size() - 1) instanceof LastHttpContent;
            expected = inHead ? HeadLine.STATUS_LINE : expected;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    private HttpMessage malformedMessage() {
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(new DecoderException("malformed " + expected)));
        return message;
    }

    /**
     * Checks the lines that were received whole, up to the end of the head; returns true at the first malformed one.
     * The lines of earlier calls have been decoded, so the bytes begin with a line.
     */
    private boolean findMalformedLine(ByteBuf in) {
        int start = expected == HeadLine.STATUS_LINE ? skipEmptyLines(in) : in.readerIndex();
        int end = in.writerIndex();
        if (expected == HeadLine.STATUS_LINE && start < end && in.getByte(start) != FIRST_OF_HEAD) {
            return true;
        }
        while (start < end) {
            int lineEnd = in.indexOf(start, end, LF);
            if (lineEnd < 0) {
                return false;
            }
            int textEnd = lineEnd > start && in.getByte(lineEnd - 1) == CR ? lineEnd - 1 : lineEnd;
            boolean headEnds = textEnd == start && expected == HeadLine.FIELD_LINE;
            if (headEnds) {
                return false;
            }
            if (!expected.matches(in, start, textEnd)) {
                return true;
            }
            expected = HeadLine.FIELD_LINE;
            start = lineEnd + 1;
        }
        return false;
    }

    /** Returns the index of the first byte that isn't part of an empty line; those are allowed before a response. */
    private static int skipEmptyLines(ByteBuf in) {
        int at = in.readerIndex();
        while (at < in.writerIndex() && (in.getByte(at) == CR || in.getByte(at) == LF)) {
            at++;
        }
        return at;
    }
}
