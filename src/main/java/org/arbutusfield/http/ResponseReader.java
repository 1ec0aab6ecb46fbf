package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.Failure;

/**
 * Reads one response while it arrives, so that its body need not be held.
 *
 * <p>Contract: {@link #head} is called once, then {@link #body} for each part of the body, then {@link #result}; all on
 * the event loop of the connection. A call that fails ends anywhere in between.
 *
 * @param <T> what the response is read to
 */
public interface ResponseReader<T> {
    /** Takes the status and the fields. */
    void head(int status, List<Header> headers);

    /**
     * Takes the next bytes of the body, which it must not keep.
     *
     * @return why the rest of the body isn't wanted; the call fails with it. Empty to go on
     */
    Optional<Failure> body(ByteBuf part);

    /** What was read, once the response is whole. */
    Either<Failure, T> result();
}
