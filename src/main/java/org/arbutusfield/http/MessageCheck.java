package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Follows the bytes of the messages of one direction of a connection, ahead of the decoder, and finds what isn't sound.
 *
 * <p>Problem: the library's decoder is lenient. It drops or rewrites what it doesn't understand, so its result may be
 * sound where the bytes received leave open where the message ends.
 *
 * <p>Idea: the bytes themselves are checked before they are decoded, with the rules of {@link HeadLine},
 * {@link FramingFields} and chunks. What passes means the same to every reader, and so to the decoder.
 *
 * <p>Invariants: no byte is decoded that decides on the framing and hasn't been checked. Each byte is checked once, but
 * for those of a line that isn't complete. What follows the end of a message is checked only when the message has been
 * decoded. The outcome doesn't depend on how the bytes are divided among reads.
 *
 * <p>Example: {@code 4}, an end of line, {@code halfmore} and an end of line. The decoder would take {@code half} for
 * the chunk and skip {@code more}; here the chunk doesn't end where its size says, so the message is malformed.
 */
public final class MessageCheck {
    private static final byte LF = '\n';
    private static final byte CR = '\r';
    private static final int MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private final HeadLine startLine;
    /** Whether the next response belongs to a request with the method {@code HEAD}. */
    private final BooleanSupplier toHead;

    private Expected expected = Expected.START_LINE;
    private FramingFields fields = FramingFields.of(false);
    private Framing framing = Framing.NO_BODY;
    private int status;
    /** Bytes of the body, or of the chunk, that haven't been checked. */
    private long bodyLeft;
    /** Bytes that have been checked and not yet decoded. */
    private int checked;
    /** Set at the end of a head and of a chunk: what follows is checked when that has been decoded. */
    private boolean paused;

    private Optional<MessageFault> fault = Optional.empty();

    private MessageCheck(HeadLine startLine, BooleanSupplier toHead) {
        this.startLine = startLine;
        this.toHead = toHead;
    }

    /** What comes next. */
    private enum Expected {
        START_LINE,
        FIELD_LINE,
        BODY_BYTES,
        CHUNK_SIZE,
        CHUNK_BYTES,
        CHUNK_END,
        LF_OF_CHUNK_END,
        TRAILER_LINE,
        BYTES_UNTIL_CLOSE,
        /** Nothing, until the message has been decoded; nothing at all if the decoder has failed at it. */
        NOTHING
    }

    /** Creates the check of a connection's requests. */
    public static MessageCheck ofRequests() {
        return new MessageCheck(HeadLine.REQUEST_LINE, () -> false);
    }

    /**
     * Creates the check of a connection's responses.
     *
     * @param toHead whether the next response belongs to a request with the method {@code HEAD}
     */
    static MessageCheck ofResponses(BooleanSupplier toHead) {
        return new MessageCheck(HeadLine.STATUS_LINE, toHead);
    }

    /**
     * Checks as much as the decoder may decode next.
     *
     * @param in the bytes received and not yet decoded
     * @return false if they aren't sound
     */
    public boolean passes(ByteBuf in) {
        paused &= checked > 0;
        int at = in.readerIndex() + checked;
        while (at < in.writerIndex() && !paused && fault.isEmpty()) {
            int next = step(in, at);
            if (next == at) {
                break;
            }
            at = next;
        }
        checked = at - in.readerIndex();
        return fault.isEmpty();
    }

    /**
     * Records what the decoder has made of the bytes.
     *
     * @param bytes number of bytes decoded
     * @param last the last part of a message that was decoded; null if none was
     */
    public void decoded(int bytes, Object last) {
        checked = Math.max(0, checked - bytes);
        if (last instanceof HttpObject part && part.decoderResult().isFailure()) {
            expected = Expected.NOTHING;
        } else if (last instanceof LastHttpContent) {
            expected = Expected.START_LINE;
            paused = false;
        }
    }

    /** Marks a part of a message as malformed, for the reason that was found. */
    public <T extends HttpObject> T malformed(T part) {
        part.setDecoderResult(DecoderResult.failure(new DecoderException("malformed " + fault.orElseThrow())));
        return part;
    }

    /** Why the bytes aren't sound; empty while they are. */
    public Optional<MessageFault> fault() {
        return fault;
    }

    /** True while the start line or a field is due. */
    public boolean inHead() {
        return expected == Expected.START_LINE || expected == Expected.FIELD_LINE;
    }

    /** True if the message whose head was checked last has no body. */
    public boolean hasNoBody() {
        return framing.end() == Framing.BodyEnd.HEAD;
    }

    /** Checks what is next at an index and returns the index after it; the same one if bytes are missing. */
    private int step(ByteBuf in, int at) {
        return switch (expected) {
            case START_LINE -> startLine(in, at);
            case FIELD_LINE, CHUNK_SIZE, TRAILER_LINE -> line(in, at);
            case BODY_BYTES, CHUNK_BYTES -> bodyBytes(in, at);
            case CHUNK_END, LF_OF_CHUNK_END -> chunkEnd(in, at);
            case BYTES_UNTIL_CLOSE, NOTHING -> at;
        };
    }

    private int startLine(ByteBuf in, int at) {
        byte first = in.getByte(at);
        if (first == CR || first == LF) {
            // Empty lines are allowed before a message.
            return at + 1;
        }
        if (!startLine.mayBeginWith(first)) {
            return reject(MessageFault.START_LINE, at);
        }
        return line(in, at);
    }

    private int line(ByteBuf in, int start) {
        int lineEnd = in.indexOf(start, in.writerIndex(), LF);
        if (lineEnd < 0) {
            return start;
        }
        int textEnd = lineEnd > start && in.getByte(lineEnd - 1) == CR ? lineEnd - 1 : lineEnd;
        switch (expected) {
            case START_LINE -> startLineReceived(in, start, textEnd);
            case FIELD_LINE -> fieldLineReceived(in, start, textEnd);
            case CHUNK_SIZE -> chunkSizeReceived(in, start, textEnd);
            default -> trailerLineReceived(textEnd == start);
        }
        return fault.isPresent() ? start : lineEnd + 1;
    }

    private void startLineReceived(ByteBuf in, int start, int end) {
        if (!startLine.matches(in, start, end)) {
            reject(MessageFault.START_LINE, start);
            return;
        }
        status = startLine == HeadLine.STATUS_LINE ? HeadLine.status(in, start) : 0;
        fields = FramingFields.of(startLine.isHttp10(in, start, end));
        expected = Expected.FIELD_LINE;
    }

    private void fieldLineReceived(ByteBuf in, int start, int end) {
        if (start == end) {
            headReceived();
        } else if (HeadLine.FIELD_LINE.matches(in, start, end)) {
            fields = fields.with(in, start, end);
        } else {
            reject(MessageFault.FIELD_LINE, start);
        }
    }

    private void headReceived() {
        Either<MessageFault, Framing> found =
                startLine == HeadLine.STATUS_LINE ? fields.ofResponse(isBodiless()) : fields.ofRequest();
        if (found.isLeft()) {
            fault = Optional.of(found.getLeft());
            return;
        }
        framing = found.get();
        bodyLeft = framing.length();
        paused = true;
        expected = switch (framing.end()) {
            case HEAD -> Expected.NOTHING;
            case LENGTH -> bodyLeft == 0 ? Expected.NOTHING : Expected.BODY_BYTES;
            case LAST_CHUNK -> Expected.CHUNK_SIZE;
            case CLOSE -> Expected.BYTES_UNTIL_CLOSE;
        };
    }

    private boolean isBodiless() {
        return toHead.getAsBoolean() || status / 100 == 1 || status == 204 || status == 304;
    }

    private int bodyBytes(ByteBuf in, int at) {
        int bytes = (int) Math.min(bodyLeft, in.writerIndex() - at);
        bodyLeft -= bytes;
        if (bodyLeft == 0) {
            expected = expected == Expected.CHUNK_BYTES ? Expected.CHUNK_END : Expected.NOTHING;
        }
        return at + bytes;
    }

    private void chunkSizeReceived(ByteBuf in, int start, int end) {
        long size = ChunkSize.read(in, start, end);
        if (size < 0 || size > MAX_CHUNK_BYTES) {
            reject(MessageFault.CHUNK, start);
            return;
        }
        bodyLeft = size;
        expected = size == 0 ? Expected.TRAILER_LINE : Expected.CHUNK_BYTES;
    }

    private int chunkEnd(ByteBuf in, int at) {
        byte next = in.getByte(at);
        if (next == CR && expected == Expected.CHUNK_END) {
            expected = Expected.LF_OF_CHUNK_END;
        } else if (next == LF) {
            expected = Expected.CHUNK_SIZE;
            paused = true;
        } else {
            return reject(MessageFault.CHUNK, at);
        }
        return at + 1;
    }

    /** Trailers are dropped, so what they say is no matter. */
    private void trailerLineReceived(boolean empty) {
        expected = empty ? Expected.NOTHING : Expected.TRAILER_LINE;
    }

    private int reject(MessageFault reason, int at) {
        fault = Optional.of(reason);
        return at;
    }
}
