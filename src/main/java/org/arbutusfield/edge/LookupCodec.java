package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Reads the look-ups of callers and writes the responses. */
public interface LookupCodec {
    /** Reads the query from a request. */
    Either<Failure, LookupQuery> read(SimpleHttpRequest request);

    /**
     * Writes a response.
     *
     * @param addresses addresses of the hosts for callers, IP:port
     * @param maxAge time for which the response may be cached
     */
    SimpleHttpResponse write(List<String> addresses, Duration maxAge);

    /**
     * The query of a caller.
     *
     * @param region region of the caller
     * @param failureDomain failure domain of the caller
     */
    record LookupQuery(String region, String failureDomain) {}
}
