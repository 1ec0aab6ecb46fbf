package org.arbutusfield.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Stands before the decoder of a connection, and has it decode one message for each read that is asked for, and only so
 * many in one turn of the event loop. The decoder must decode one message a call, and the channel must not read by
 * itself.
 *
 * <p>Problem: all connections of a host share an event loop. The bytes of one read may hold ten thousand messages of a
 * few bytes. Decoded all at once they fill the heap with objects that nobody has asked for, and all other connections
 * wait until they are processed; a peer that sends them without end has the loop to itself.
 *
 * <p>Idea: a read is answered from the bytes that were received before. The socket is read only when they hold no whole
 * message, and after its share of a turn the connection waits for the next one, in which the others get theirs.
 *
 * <p>Invariants: a connection holds the bytes of at most one read beyond a message that has begun. In one turn it is
 * given at most {@link #MAX_MESSAGES_PER_TURN} messages and the bytes of one read.
 *
 * <p>Example: a caller uploads in chunks of one byte. One read brings 10,900 of them; 128 are passed on, then the other
 * connections are served, then the next 128.
 *
 * <p>Confined to the event loop of its channel.
 */
public final class PacedDecoding extends ChannelDuplexHandler {
    private static final int MAX_MESSAGES_PER_TURN = 128;

    private final Decoder decoder;
    private final BiConsumer<ChannelHandlerContext, Runnable> laterTurns;
    private boolean wanted;
    private boolean decoding;
    private boolean inSocketRead;
    private boolean inputEnded;
    /** True while the received bytes are known to hold no whole message. */
    private boolean incomplete;

    private boolean waitsForTurn;
    private int messagesInTurn;

    private PacedDecoding(Decoder decoder, BiConsumer<ChannelHandlerContext, Runnable> laterTurns) {
        this.decoder = decoder;
        this.laterTurns = laterTurns;
    }

    /** What a decoder has done and has left. */
    public interface Decoder {
        /** Bytes received and not yet decoded. */
        int undecodedBytes();

        /** Number of messages, and parts of messages, decoded since the connection was opened. */
        long decodedMessages();
    }

    /** Paces a decoder, before which the handler must stand in the pipeline. */
    public static PacedDecoding of(Decoder decoder) {
        return of(decoder, PacedDecoding::runInNextTurn);
    }

    /**
     * Paces a decoder.
     *
     * @param decoder the decoder, before which the handler must stand in the pipeline
     * @param laterTurns runs a task in a later turn of the event loop
     */
    static PacedDecoding of(Decoder decoder, BiConsumer<ChannelHandlerContext, Runnable> laterTurns) {
        return new PacedDecoding(decoder, laterTurns);
    }

    /** A task without a delay would run in the same turn, before the other connections are served. */
    private static void runInNextTurn(ChannelHandlerContext ctx, Runnable task) {
        ctx.executor().schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    /** Asks for one more message. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        wanted = true;
        if (!decoding && !inputEnded) {
            decodeWanted(ctx);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        inSocketRead = true;
        incomplete = false;
        if (!waitsForTurn) {
            messagesInTurn = 0;
        }
        decoding = true;
        pass(ctx, message);
        decoding = false;
        decodeWanted(ctx);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        inSocketRead = false;
        ctx.fireChannelReadComplete();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        inputEnded = true;
        ctx.fireChannelInactive();
    }

    private void decodeWanted(ChannelHandlerContext ctx) {
        boolean passedOn;
        do {
            passedOn = decodeWhileWanted(ctx);
            if (passedOn && !inSocketRead) {
                decoding = true;
                ctx.fireChannelReadComplete();
                decoding = false;
            }
        } while (passedOn && wanted && mayDecode(ctx));
        if (wanted && ctx.channel().isActive()) {
            readOrWait(ctx);
        }
    }

    /** Returns true if a message was passed on. */
    private boolean decodeWhileWanted(ChannelHandlerContext ctx) {
        long before = decoder.decodedMessages();
        decoding = true;
        while (wanted && mayDecode(ctx)) {
            pass(ctx, Unpooled.EMPTY_BUFFER);
        }
        decoding = false;
        return decoder.decodedMessages() > before;
    }

    private boolean mayDecode(ChannelHandlerContext ctx) {
        return decoder.undecodedBytes() > 0
                && !incomplete
                && messagesInTurn < MAX_MESSAGES_PER_TURN
                && ctx.channel().isActive();
    }

    private void pass(ChannelHandlerContext ctx, Object bytes) {
        long before = decoder.decodedMessages();
        boolean asked = wanted;
        wanted = false;
        ctx.fireChannelRead(bytes);
        long passedOn = decoder.decodedMessages() - before;
        messagesInTurn += (int) passedOn;
        if (passedOn == 0) {
            incomplete = true;
            wanted |= asked;
        }
    }

    private void readOrWait(ChannelHandlerContext ctx) {
        boolean more = decoder.undecodedBytes() > 0 && !incomplete;
        if (!more) {
            ctx.read();
        } else if (!waitsForTurn) {
            waitsForTurn = true;
            laterTurns.accept(ctx, () -> nextTurn(ctx));
        }
    }

    private void nextTurn(ChannelHandlerContext ctx) {
        waitsForTurn = false;
        messagesInTurn = 0;
        if (wanted && !inputEnded) {
            decodeWanted(ctx);
        }
    }
}
