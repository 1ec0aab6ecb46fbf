package org.arbutusfield.http;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP request in memory.
 *
 * @param method HTTP method in upper case
 * @param target path and query
 * @param headers header fields, without those that frame the message
 * @param body content
 */
public record SimpleHttpRequest(String method, String target, List<Header> headers, Body body) {

    /** A request without body. */
    public static SimpleHttpRequest of(String method, String target) {
        return new SimpleHttpRequest(method, target, List.of(), Body.empty());
    }

    /** A request with a body. */
    public static SimpleHttpRequest of(String method, String target, byte[] body) {
        return new SimpleHttpRequest(method, target, List.of(), Body.of(body));
    }

    /** A copy with these header fields. */
    public SimpleHttpRequest withHeaders(Header... fields) {
        return new SimpleHttpRequest(method, target, List.of(fields), body);
    }

    /** The decoded path without the query. */
    public String path() {
        return new QueryStringDecoder(target).path();
    }

    /** The first value of a query parameter. */
    public Optional<String> queryParameter(String name) {
        List<String> values = new QueryStringDecoder(target).parameters().get(name);
        return values == null ? Optional.empty() : values.stream().findFirst();
    }

    /** The first value of a header field. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }

    /** The body as UTF-8 text. */
    public String text() {
        return body.text();
    }
}
