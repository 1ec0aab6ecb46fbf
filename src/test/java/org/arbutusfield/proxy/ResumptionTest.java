package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Which responses may continue a response of 100 bytes of which 40 were relayed, including responses of upstreams that
 * ignore {@code If-Range}.
 */
class ResumptionTest {
    private static HttpResponse response(int status, String tag, String range, long length) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set("etag", tag).set("accept-ranges", "bytes").set("content-length", length);
        if (range != null) {
            response.headers().set("content-range", range);
        }
        return response;
    }

    @ParameterizedTest
    @CsvSource({
        "206, '\"a\"',   bytes 40-99/100,  60,  true",
        "206, '\"b\"',   bytes 40-99/100,  60,  false",
        "206, 'W/\"a\"', bytes 40-99/100,  60,  false",
        "206, '\"a\"',   bytes 39-99/100,  61,  false",
        "206, '\"a\"',   bytes 41-99/100,  59,  false",
        "206, '\"a\"',   bytes 40-98/100,  59,  false",
        "206, '\"a\"',   bytes 40-99/101,  60,  false",
        "206, '\"a\"',   bytes 40-99/*,    60,  false",
        "206, '\"a\"',   bytes 40-99/100,  61,  false",
        "206, '\"a\"',   ,                 60,  false",
        "200, '\"a\"',   bytes 40-99/100,  60,  false",
        "200, '\"a\"',   ,                 100, false",
    })
    void onlyExactMissingRangeIsAccepted(int status, String tag, String range, long length, boolean accepted) {
        Resumption resumption =
                Resumption.of(response(200, "\"a\"", null, 100)).orElseThrow().withReceived(40);
        assertThat(resumption.isContinuedBy(response(status, tag, range, length)))
                .isEqualTo(accepted);
    }

    @ParameterizedTest
    @CsvSource({
        "200, 'W/\"a\"',  false",
        "200, '\"a\"',    true",
        "404, '\"a\"',    false",
    })
    void onlyStrongValidatorAllowsResumption(int status, String tag, boolean resumable) {
        assertThat(Resumption.of(response(status, tag, null, 100)).isPresent()).isEqualTo(resumable);
    }
}
