package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** How callers ask which hosts to use, and how they are answered. */
public interface LookupCodec {
    /** What a call asks. */
    Either<Failure, LookupQuery> read(SimpleHttpRequest call);

    /**
     * An answer.
     *
     * @param addresses where callers connect, IP:port
     * @param maxAge how long the answer may be cached
     */
    SimpleHttpResponse write(List<String> addresses, Duration maxAge);

    /**
     * A caller's question.
     *
     * @param region region of the caller
     * @param failureDomain failure domain of the caller
     */
    record LookupQuery(String region, String failureDomain) {}
}
