package org.arbutusfield.http;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** Holds a response with its whole body; for small ones. */
final class WholeResponse implements ResponseReader<SimpleHttpResponse> {
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private List<Header> headers = List.of();

    private WholeResponse() {}

    static WholeResponse create() {
        return new WholeResponse();
    }

    @Override
    public void head(int receivedStatus, List<Header> receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public Optional<Failure> body(ByteBuf part) {
        if (body.size() + part.readableBytes() > MAX_BODY_BYTES) {
            return Optional.of(
                    Failure.of(ErrorCode.PEER_INCOMPLETE, "", "body of more than " + MAX_BODY_BYTES + " bytes"));
        }
        try {
            part.getBytes(part.readerIndex(), body, part.readableBytes());
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(Failure.of(ErrorCode.PEER_INCOMPLETE, "", e.toString()));
        }
    }

    @Override
    public Either<Failure, SimpleHttpResponse> result() {
        return Either.right(new SimpleHttpResponse(status, headers, Body.of(body.toByteArray())));
    }
}
