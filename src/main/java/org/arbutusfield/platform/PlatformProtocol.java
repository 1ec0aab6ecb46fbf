package org.arbutusfield.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.edge.EdgeProtocol;
import org.arbutusfield.edge.LookupCodec;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.DurationText;
import org.arbutusfield.proxy.HeaderNames;

/** The formats of the platform: those of callers, upstreams, operator and store. */
public final class PlatformProtocol {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlatformProtocol() {}

    /** Creates the protocol. */
    public static EdgeProtocol create() {
        return new EdgeProtocol(PlatformItemDecoder.create(), new ResolveCodec(), headerNames(), "/ready", "/resolve");
    }

    private static HeaderNames headerNames() {
        return new HeaderNames(
                "x-deadline-ms",
                "x-not-executed",
                Optional.of("x-expect-instance"),
                Optional.of("x-affinity-key"),
                Optional.of("x-server-seal"),
                Optional.of("server-leaving"),
                Optional.of("server-limit"),
                Optional.of("x-tenant-name"),
                Optional.of("x-server-load"),
                true);
    }

    /** The look-up {@code GET /resolve}. */
    private static final class ResolveCodec implements LookupCodec {
        @Override
        public Either<Failure, LookupQuery> read(SimpleHttpRequest request) {
            Optional<String> region = request.queryParameter("region");
            Optional<String> zone = request.queryParameter("zone");
            if (region.isEmpty() || zone.isEmpty()) {
                return Either.left(Failure.of(ErrorCode.REQUEST_MALFORMED, "region or zone"));
            }
            return Either.right(new LookupQuery(region.get(), zone.get()));
        }

        @Override
        public SimpleHttpResponse write(List<String> addresses, Duration maxAge) {
            ObjectNode body = JSON.createObjectNode();
            ArrayNode list = body.putArray("addresses");
            addresses.forEach(list::add);
            return SimpleHttpResponse.json(
                    200, body.put("ttl", DurationText.formatMillis(maxAge)).toString());
        }
    }
}
