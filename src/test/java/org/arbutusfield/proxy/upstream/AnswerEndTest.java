package org.arbutusfield.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.http.PacedDecoding;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What proves that an upstream's answer is whole, decided without a network. */
class AnswerEndTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";

    private final Listener listener = new Listener();
    private final FailingOutput output = new FailingOutput();
    private final EmbeddedChannel channel = channel();

    /** Records how the answer ended. */
    private static final class Listener implements UpstreamResponseListener {
        private boolean whole;
        private boolean lost;

        @Override
        public void responseHead(HttpResponse response) {}

        @Override
        public void responseContent(HttpContent content) {
            whole |= content instanceof LastHttpContent;
            content.release();
        }

        @Override
        public void batchEnded() {}

        @Override
        public void writabilityChanged() {}

        @Override
        public void lost(Optional<MalformedPart> malformed) {
            lost = true;
        }
    }

    /** Fails writes from some moment on, as a socket does that was reset. */
    private static final class FailingOutput extends ChannelOutboundHandlerAdapter {
        private boolean fails;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
            if (fails) {
                ReferenceCountUtil.release(message);
                promise.tryFailure(new IOException("Connection reset by peer"));
                return;
            }
            ctx.write(message, promise);
        }
    }

    private EmbeddedChannel channel() {
        ConnectionPool pool = new ConnectionPool(
                InetSocketAddress.createUnresolved("u", 1), Optional.empty(), Duration.ofSeconds(1), address -> {});
        UpstreamResponseDecoder decoder = UpstreamResponseDecoder.create();
        UpstreamConnection connection = new UpstreamConnection(pool, decoder);
        EmbeddedChannel created =
                new EmbeddedChannel(output, PacedDecoding.of(decoder), decoder, new HttpRequestEncoder(), connection);
        DefaultHttpRequest upload = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        upload.headers().set("content-length", "1000");
        connection.begin(upload, listener);
        return created;
    }

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        channel.writeInbound(bytes);
    }

    private void failWrite() {
        output.fails = true;
        channel.pipeline().get(UpstreamConnection.class).sendBody(Unpooled.copiedBuffer(new byte[10]));
        channel.runPendingTasks();
    }

    private void endInput() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    /** The other side: an answer without a length is whole if its connection ends in order. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1", "HTTP/1.0"})
    void answerWithoutALengthIsWholeAtAnOrderlyEnd(String version) {
        receive(version + " 200 OK\r\n\r\nhalf");
        endInput();
        assertThat(listener.whole).isTrue();
    }

    /**
     * Guards against half an answer that looks whole: a failed write took the reset, and the read saw an end of file.
     */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1", "HTTP/1.0"})
    void answerWithoutALengthIsCutIfAWriteHasFailed(String version) {
        receive(version + " 200 OK\r\n\r\nhalf");
        failWrite();
        endInput();
        assertThat(listener.whole).isFalse();
        assertThat(listener.lost).isTrue();
    }

    /** Guards against half an answer that looks whole because this host closed the connection after a failed write. */
    @Test
    void answerWithoutALengthIsCutIfTheHostCloses() {
        receive(HEAD + "\r\nhalf");
        failWrite();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen()).isFalse();
        assertThat(listener.whole).isFalse();
        assertThat(listener.lost).isTrue();
    }

    /** Guards against half an answer that looks whole because the event loop closes its connections. */
    @Test
    void answerWithoutALengthIsCutIfNoEndWasReceived() {
        receive(HEAD + "\r\nhalf");
        channel.close();
        assertThat(listener.whole).isFalse();
        assertThat(listener.lost).isTrue();
    }

    /** The other side: a length or a last chunk proves the end, whatever happens to the connection. */
    @ParameterizedTest
    @CsvSource({"content-length: 4, half", "transfer-encoding: chunked, '4\r\nhalf\r\n0\r\n\r\n'"})
    void framedAnswerIsWholeAfterAFailedWrite(String field, String body) {
        receive(HEAD + field + "\r\n\r\n");
        failWrite();
        receive(body);
        endInput();
        assertThat(listener.whole).isTrue();
    }
}
