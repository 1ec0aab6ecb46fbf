package org.arbutusfield.proxy.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.http.HeadLine;

/** The part of an upstream's bytes for which they are not a valid HTTP response. */
public enum MalformedPart {
    /** The first line of the head. */
    STATUS_LINE,
    /** Another line of the head. */
    FIELD_LINE,
    /** The head as a whole: it is too long, or its fields contradict each other. */
    HEAD,
    /** The length of the body is given more than once. */
    CONTENT_LENGTH,
    /** The body is in another transfer coding than chunks, so the bytes received aren't those of the body. */
    TRANSFER_ENCODING,
    /** More interim responses than are accepted before one response. */
    INTERIM_RESPONSES,
    /** The body's chunks or trailers. */
    BODY;

    /** The part for a line that the decoder has rejected, or for a head that it couldn't decode for another reason. */
    static MalformedPart ofHead(Optional<HeadLine> line) {
        return line.map(kind -> kind == HeadLine.STATUS_LINE ? STATUS_LINE : FIELD_LINE)
                .orElse(HEAD);
    }

    /** The field that leaves open which bytes are the body; empty if there is none. */
    static Optional<MalformedPart> ofFraming(HttpHeaders headers) {
        if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            return Optional.of(CONTENT_LENGTH);
        }
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && !onlyChunked(headers)) {
            return Optional.of(TRANSFER_ENCODING);
        }
        return Optional.empty();
    }

    private static boolean onlyChunked(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }
}
