package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.Optional;

/**
 * Decodes responses, and rejects those that {@link MessageCheck} finds malformed before it decodes them.
 *
 * <p>A malformed response is passed on as a message, or as the last part of a body, whose decoding has failed. Nothing
 * after it is decoded.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    /** Set by the thread that sends the request, which may be another one. */
    private volatile boolean headRequest;

    private final MessageCheck check = MessageCheck.ofResponses(() -> headRequest);

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

    /** Why a response was rejected before it was decoded; empty unless one was. */
    public Optional<MessageFault> fault() {
        return check.fault();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (check.fault().isPresent()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        boolean inHead = check.inHead();
        if (!check.passes(in)) {
            in.skipBytes(in.readableBytes());
            out.add(check.malformed(
                    inHead ? createInvalidMessage() : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)));
            return;
        }
        int before = out.size();
        int undecoded = in.readableBytes();
        super.decode(ctx, in, out);
        check.decoded(undecoded - in.readableBytes(), out.size() > before ? out.get(out.size() - 1) : null);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return check.hasNoBody();
    }

    /** No request here asks for another protocol. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }
}
