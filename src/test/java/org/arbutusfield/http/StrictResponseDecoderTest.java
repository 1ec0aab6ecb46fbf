package org.arbutusfield.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which heads are accepted, byte by byte and without a network. */
class StrictResponseDecoderTest {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String SOUND = STATUS_LINE + "content-length: 4\r\nx-other: 1\r\n\r\nhalf";
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** What was decoded: statuses and bodies, or "malformed" for a message whose decoding has failed. */
    private static List<String> decode(String... reads) {
        EmbeddedChannel channel = new EmbeddedChannel(StrictResponseDecoder.create());
        for (String read : reads) {
            channel.writeInbound(Unpooled.copiedBuffer(read, StandardCharsets.ISO_8859_1));
        }
        List<String> decoded = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse head) {
                boolean failed = head.decoderResult().isFailure();
                decoded.add(
                        failed ? "malformed" : Integer.toString(head.status().code()));
            }
            if (message instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            ReferenceCountUtil.release(message);
        }
        channel.finishAndReleaseAll();
        decoded.add(body.toString());
        return decoded;
    }

    private static boolean accepts(String head) {
        return decode(head + "content-length: 0\r\n\r\n").equals(List.of("200", ""));
    }

    private static boolean isTokenCharacter(int c) {
        boolean letterOrDigit = c < 0x80 && Character.isLetterOrDigit(c);
        return letterOrDigit || TOKEN_MARKS.indexOf(c) >= 0;
    }

    private static boolean isTextCharacter(int c) {
        return c == '\t' || (c >= ' ' && c != 0x7f);
    }

    /** Guards against a name with a blank or a control byte, wherever in the name it is. */
    @Test
    void namesConsistOfTokenCharacters() {
        for (int c = 0; c < 256; c++) {
            // A colon ends the name, and a line feed the line.
            if (c != ':' && c != '\n') {
                assertThat(accepts(STATUS_LINE + "x" + (char) c + "y: 1\r\n"))
                        .as("character %s", c)
                        .isEqualTo(isTokenCharacter(c));
                assertThat(accepts(STATUS_LINE + "x" + (char) c + ": 1\r\n"))
                        .as("character %s at the end", c)
                        .isEqualTo(isTokenCharacter(c));
                assertThat(accepts(STATUS_LINE + "x: 1\r\n" + (char) c + "y: 1\r\n"))
                        .as("character %s at the start", c)
                        .isEqualTo(isTokenCharacter(c));
            }
        }
    }

    /** Guards against control bytes in values and reason phrases. */
    @Test
    void valuesAndReasonsConsistOfText() {
        for (int c = 0; c < 256; c++) {
            if (c != '\n') {
                assertThat(accepts(STATUS_LINE + "x: 1" + (char) c + "2\r\n"))
                        .as("character %s in a value", c)
                        .isEqualTo(isTextCharacter(c));
                assertThat(accepts("HTTP/1.1 200 O" + (char) c + "K\r\n"))
                        .as("character %s in a reason phrase", c)
                        .isEqualTo(isTextCharacter(c));
            }
        }
    }

    /** Guards against a status that is none: three digits, from 100 to 599. */
    @Test
    void statusIsBetween100And599() {
        for (int status = 0; status < 10_000; status++) {
            boolean sound = status >= 100 && status <= 599;
            String line = "HTTP/1.1 %03d x\r\ncontent-length: 0\r\n\r\n".formatted(status);
            assertThat(decode(line).get(0)).isEqualTo(sound ? Integer.toString(status) : "malformed");
        }
    }

    /** Guards against a check whose outcome depends on how the bytes arrive. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                SOUND,
                "\r\n\r\n" + SOUND,
                "HTTP/1.1 102 Processing\r\n\r\n" + SOUND,
                "HTTP/1.1 200 OK\ncontent-length: 4\n\nhalf",
                "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\ncontent-length x: 4\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nx-other: 1\r\n folded: 4\r\n\r\nhalf",
                "\0" + SOUND,
                SOUND + "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n",
                SOUND + "HTTP/1.1 200 OK\r\nx : 4\r\n\r\n",
            })
    void outcomeDoesNotDependOnTheReads(String text) {
        List<String> whole = decode(text);
        assertThat(decode(text.split(""))).as("byte by byte").isEqualTo(whole);
        for (int cut = 1; cut < text.length(); cut++) {
            assertThat(decode(text.substring(0, cut), text.substring(cut)))
                    .as("cut after %s bytes", cut)
                    .isEqualTo(whole);
        }
    }

    /** Guards against a response that follows a malformed one and is taken for that of the request. */
    @Test
    void nothingIsDecodedAfterAMalformedHead() {
        String broken = "HTTP/1.1 200 OK\r\nx broken: 1\r\n\r\n";
        assertThat(decode(broken + SOUND)).containsExactly("malformed", "");
        assertThat(decode(broken, SOUND, SOUND)).containsExactly("malformed", "");
        assertThat(decode(SOUND, broken, SOUND)).containsExactly("200", "malformed", "half");
    }

    /** A body may hold what no head may. */
    @Test
    void bodiesAreNotChecked() {
        String body = "x y: 1\r\n\0\r\n";
        String text = STATUS_LINE + "content-length: " + body.length() + "\r\n\r\n" + body;
        assertThat(decode(text)).containsExactly("200", body);
        assertThat(decode(text.split("(?<=\n)"))).containsExactly("200", body);
    }
}
