package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * One request of an {@link HttpClient} that waits for its response, and what reads that. Confined to the event loop of
 * its connection, but for its creation.
 *
 * @param <T> what the response is read to
 */
final class ClientCall<T> {
    private final ResponseReader<T> reader;
    private final CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
    private boolean begun;

    private ClientCall(ResponseReader<T> reader) {
        this.reader = reader;
    }

    static <T> ClientCall<T> of(ResponseReader<T> reader) {
        return new ClientCall<>(reader);
    }

    /** Completes with what was read, or with a failure; never exceptionally. */
    CompletableFuture<Either<Failure, T>> result() {
        return result;
    }

    /** True once the call has its result, whatever still arrives. */
    boolean done() {
        return result.isDone();
    }

    void head(int status, List<Header> headers) {
        begun = true;
        reader.head(status, headers);
    }

    void body(ByteBuf part) {
        Optional<Failure> unwanted = reader.body(part);
        unwanted.ifPresent(this::fail);
    }

    void end() {
        result.complete(reader.result());
    }

    /** Fails the call unless it is done, with a code that tells whether its response had begun. */
    void fail(ErrorCode code, String subject, String detail) {
        fail(Failure.of(begun ? ErrorCode.PEER_INCOMPLETE : code, subject, detail));
    }

    private void fail(Failure failure) {
        result.complete(Either.left(failure));
    }
}
