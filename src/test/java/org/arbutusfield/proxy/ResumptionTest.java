package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What may continue an answer of 100 bytes of which 40 were passed, also from a server that ignores the condition. */
class ResumptionTest {
    private static HttpResponse answer(int status, String tag, String range, long length) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        answer.headers().set("etag", tag).set("accept-ranges", "bytes").set("content-length", length);
        if (range != null) {
            answer.headers().set("content-range", range);
        }
        return answer;
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
    void onlyTheExactRestContinues(int status, String tag, String range, long length, boolean continues) {
        Resumption rest =
                Resumption.of(answer(200, "\"a\"", null, 100)).orElseThrow().at(40);
        assertThat(rest.continuedBy(answer(status, tag, range, length))).isEqualTo(continues);
    }

    @ParameterizedTest
    @CsvSource({
        "200, 'W/\"a\"',  false",
        "200, '\"a\"',    true",
        "404, '\"a\"',    false",
    })
    void onlyAStrongValidatorPermitsIt(int status, String tag, boolean resumable) {
        assertThat(Resumption.of(answer(status, tag, null, 100)).isPresent()).isEqualTo(resumable);
    }
}
