package org.arbutusfield.proxy;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Pattern;

/** The header fields that the proxy itself reads, sets and removes. */
final class ProxyHeaders {
    static final String REQUEST_ID = "x-request-id";
    static final String HOP = "x-arbutus-hop";
    /** Names the team of a request that one host forwards to another. */
    static final String TEAM = "x-arbutus-team";

    static final String NOT_RUN = "x-not-run";
    static final String IDEMPOTENCY_KEY = "idempotency-key";

    private static final HttpHeadersFactory UNCHECKED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);
    private static final Pattern VALID_ID = Pattern.compile("[!-~]{1,128}");
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");
    private static final Set<String> REWRITTEN = Set.of("expect", REQUEST_ID, HOP, NOT_RUN);

    private ProxyHeaders() {}

    /** True if the caller gave no request id, or one that can be passed on: visible ASCII characters, up to 128. */
    static boolean requestIdIsValid(HttpHeaders headers) {
        List<String> given = headers.getAll(REQUEST_ID);
        return given.isEmpty()
                || (given.size() == 1 && VALID_ID.matcher(given.get(0)).matches());
    }

    /** The caller's request id, as it came. A request without one, or with one that is refused, gets a new one. */
    static String requestId(HttpHeaders headers) {
        boolean given = headers.contains(REQUEST_ID) && requestIdIsValid(headers);
        return given ? headers.get(REQUEST_ID) : newRequestId();
    }

    /** A new request id. */
    static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong());
    }

    /**
     * The fields to forward: all received ones except hop-by-hop fields, fields that the proxy sets itself, and others
     * to withhold.
     *
     * @param received fields received
     * @param withheld names of the others to withhold, in lower case
     */
    static HttpHeaders forwardedFields(HttpHeaders received, Set<String> withheld) {
        Set<String> named = namedByConnection(received);
        HttpHeaders forwardedFields = UNCHECKED.newHeaders();
        for (Map.Entry<String, String> field : received) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            boolean ownOrHopByHop = HOP_BY_HOP.contains(name) || REWRITTEN.contains(name);
            if (!ownOrHopByHop && !named.contains(name) && !withheld.contains(name)) {
                forwardedFields.add(field.getKey(), field.getValue());
            }
        }
        return forwardedFields;
    }

    private static Set<String> namedByConnection(HttpHeaders received) {
        if (!received.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String value : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",", -1)) {
                names.add(token.strip().toLowerCase(Locale.ROOT));
            }
        }
        names.remove("content-length");
        names.remove("host");
        return names;
    }
}
