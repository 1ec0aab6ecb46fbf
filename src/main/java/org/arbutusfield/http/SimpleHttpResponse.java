package org.arbutusfield.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * A complete HTTP response in memory.
 *
 * @param status HTTP status
 * @param headers header fields, without those that frame the message
 * @param body content
 */
public record SimpleHttpResponse(int status, List<Header> headers, Body body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A response with a body of the given media type. */
    public static SimpleHttpResponse of(int status, String mediaType, byte[] body) {
        return new SimpleHttpResponse(status, List.of(Header.of("content-type", mediaType)), Body.of(body));
    }

    /** A response whose body is JSON text. */
    public static SimpleHttpResponse json(int status, String text) {
        return of(status, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    /** A response whose body is plain text. */
    public static SimpleHttpResponse text(int status, String text) {
        return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * A problem document (RFC 9457) for a failure, with {@code Retry-After} in whole seconds if the failure has a retry
     * delay. The member {@code notRun} is true when the request certainly had no effect.
     */
    public static SimpleHttpResponse problem(Failure failure) {
        ErrorCode code = failure.code();
        ObjectNode node = JSON.createObjectNode()
                .put("type", "urn:arbutusfield:error:" + code.name())
                .put("title", code.message())
                .put("status", code.httpStatus())
                .put("code", code.name())
                .put("subject", failure.subject())
                .put("detail", failure.detail())
                .put("notRun", failure.notRun());
        List<Header> headers = new ArrayList<>();
        headers.add(Header.of("content-type", "application/problem+json"));
        failure.retryAfter()
                .map(SimpleHttpResponse::ceilSeconds)
                .ifPresent(s -> headers.add(Header.of("retry-after", s)));
        return new SimpleHttpResponse(code.httpStatus(), headers, Body.of(node.toString()));
    }

    /** First value of a header field. */
    public Optional<String> header(String name) {
        return Header.first(headers, name);
    }

    /** The body as UTF-8 text. */
    public String text() {
        return body.text();
    }

    /** The error code, if the body is a problem document with a code known to this release. */
    public Optional<ErrorCode> problemCode() {
        try {
            String name = JSON.readTree(body.bytes()).path("code").asText();
            return Stream.of(ErrorCode.values())
                    .filter(code -> code.name().equals(name))
                    .findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static String ceilSeconds(Duration delay) {
        long seconds = (delay.toMillis() + 999) / 1000;
        return Long.toString(Math.max(1, seconds));
    }
}
