package org.arbutusfield.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How much of what a connection has sent is decoded, and when, without a network. */
class PacedDecodingTest {
    private static final int BYTES_RECEIVED = 10_000;
    /** A turn in which one connection is given more holds up the others. */
    private static final int MOST_IN_A_TURN = 128;

    private final Queue<Runnable> laterTurns = new ArrayDeque<>();
    private final Consumer consumer = new Consumer();
    private final EmbeddedChannel channel = channel();

    /** Each two bytes are a message. */
    private static final class PairDecoder extends ByteToMessageDecoder implements PacedDecoding.Decoder {
        private long decoded;

        private PairDecoder() {
            setSingleDecode(true);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (in.readableBytes() >= 2) {
                out.add(in.readRetainedSlice(2));
                decoded++;
            }
        }

        @Override
        public int undecodedBytes() {
            return actualReadableBytes();
        }

        @Override
        public long decodedMessages() {
            return decoded;
        }
    }

    /** Counts messages, and asks for the next one as long as it wants any. */
    private static final class Consumer extends ChannelInboundHandlerAdapter {
        private boolean wantsMore;
        private int messages;
        private int batches;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            messages++;
            if (wantsMore) {
                ctx.channel().read();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            batches++;
        }
    }

    private EmbeddedChannel channel() {
        PairDecoder decoder = new PairDecoder();
        EmbeddedChannel created = new EmbeddedChannel();
        created.config().setAutoRead(false);
        created.pipeline().addLast(PacedDecoding.of(decoder, (ctx, task) -> laterTurns.add(task)), decoder, consumer);
        return created;
    }

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void receive(int bytes) {
        channel.writeInbound(Unpooled.buffer(bytes).writeZero(bytes));
    }

    /** Guards against one connection that has the event loop to itself for all that it has sent. */
    @Test
    void connectionGetsItsShareOfATurn() {
        consumer.wantsMore = true;
        channel.read();
        receive(BYTES_RECEIVED);
        int afterFirstTurn = consumer.messages;
        assertThat(afterFirstTurn).isBetween(1, MOST_IN_A_TURN);
        int turns = 1;
        while (consumer.messages < BYTES_RECEIVED / 2) {
            int before = consumer.messages;
            laterTurns.remove().run();
            assertThat(consumer.messages - before).isBetween(1, MOST_IN_A_TURN);
            turns++;
        }
        assertThat(turns).isGreaterThanOrEqualTo(BYTES_RECEIVED / 2 / MOST_IN_A_TURN);
        assertThat(consumer.batches)
                .as("ends of a batch, at which what was passed on is flushed")
                .isEqualTo(turns);
    }

    /** Guards against messages that wait as objects, many times as large as their bytes, before anyone has asked. */
    @Test
    void nothingIsDecodedBeforeItIsAskedFor() {
        channel.read();
        receive(BYTES_RECEIVED);
        assertThat(consumer.messages).isOne();
        assertThat(laterTurns).isEmpty();
        channel.read();
        assertThat(consumer.messages).isEqualTo(2);
    }

    /**
     * The other side: a message that arrives in pieces is passed on with its last piece, without being asked for again.
     */
    @Test
    void messageInPiecesIsPassedOnWhenItIsWhole() {
        channel.read();
        receive(1);
        assertThat(consumer.messages).isZero();
        receive(1);
        assertThat(consumer.messages).isOne();
    }
}
