package org.arbutusfield.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which bytes are a response's body, by the rules of RFC 9112, sections 6.1 to 6.3 and 7.1. */
class FramingTest {
    private static final String CHUNKS = "4\r\nhalf\r\n0\r\n\r\n";
    private static final List<String> VERSIONS = List.of("HTTP/1.0", "HTTP/1.1");
    private static final int FUZZ_SEEDS = 400;

    /** What a response was decoded to: its body, and whether it ended; or the reason why it was rejected. */
    private record Decoded(String body, boolean ended, Optional<MessageFault> fault) {
        static Decoded rejected(MessageFault fault) {
            return new Decoded("", false, Optional.of(fault));
        }

        static Decoded whole(String body) {
            return new Decoded(body, true, Optional.empty());
        }

        static Decoded open(String body) {
            return new Decoded(body, false, Optional.empty());
        }
    }

    private static Decoded decode(HttpMethod method, String... reads) {
        StrictResponseDecoder decoder = StrictResponseDecoder.create();
        decoder.expectResponseTo(method);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        for (String read : reads) {
            channel.writeInbound(Unpooled.copiedBuffer(read, StandardCharsets.ISO_8859_1));
        }
        StringBuilder body = new StringBuilder();
        boolean ended = false;
        boolean failed = false;
        for (HttpObject part = channel.readInbound(); part != null && !ended; part = channel.readInbound()) {
            failed |= part.decoderResult().isFailure();
            if (part instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                ended = content instanceof LastHttpContent && !failed;
            }
            ReferenceCountUtil.release(part);
        }
        channel.finishAndReleaseAll();
        return failed
                ? Decoded.rejected(decoder.fault().orElseThrow())
                : new Decoded(body.toString(), ended, Optional.empty());
    }

    private static Decoded response(String version, String fields, String rest) {
        return decode(HttpMethod.GET, version + " 200 OK\r\nx-a: 1\r\n" + fields + "x-b: 1\r\n\r\n" + rest);
    }

    private static String field(String name, String value) {
        return name + ":" + value + "\r\n";
    }

    private static String length(String value) {
        return field("content-length", value);
    }

    private static String coding(String value) {
        return field("Transfer-Encoding", value);
    }

    /** The table of {@link FramingFields}: fields, bytes behind the head, outcome in HTTP/1.0 and in HTTP/1.1. */
    static Stream<Arguments> table() {
        Decoded badLength = Decoded.rejected(MessageFault.CONTENT_LENGTH);
        Decoded badCoding = Decoded.rejected(MessageFault.TRANSFER_ENCODING);
        Decoded half = Decoded.whole("half");
        Decoded none = Decoded.whole("");
        return Stream.of(
                Arguments.of("", "half", Decoded.open("half"), Decoded.open("half")),
                Arguments.of(length(" 4"), "half", half, half),
                Arguments.of(length("4"), "half", half, half),
                Arguments.of(length("\t 04 \t"), "half", half, half),
                Arguments.of(field("CONTENT-LENGTH", "4"), "half", half, half),
                Arguments.of(length(" 4"), "ha", Decoded.open("ha"), Decoded.open("ha")),
                Arguments.of(length(" 0"), "", none, none),
                Arguments.of(length(" 2") + length(" 4"), "half", badLength, badLength),
                Arguments.of(length(" 4") + length(" 2"), "half", badLength, badLength),
                Arguments.of(length(" 4") + length(" 4"), "half", badLength, badLength),
                Arguments.of(length(" 4") + field("Content-Length", "2"), "half", badLength, badLength),
                Arguments.of(length(" 4, 4"), "half", badLength, badLength),
                Arguments.of(length(" 2,4"), "half", badLength, badLength),
                Arguments.of(length(""), "half", badLength, badLength),
                Arguments.of(length(" +4"), "half", badLength, badLength),
                Arguments.of(length(" -4"), "half", badLength, badLength),
                Arguments.of(length(" 4 4"), "half", badLength, badLength),
                Arguments.of(length(" 0x4"), "half", badLength, badLength),
                Arguments.of(length(" 4.0"), "half", badLength, badLength),
                Arguments.of(length(" \u00b2"), "half", badLength, badLength),
                Arguments.of(length(" 9999999999999999999"), "half", badLength, badLength),
                Arguments.of(length(" 18446744073709551620"), "half", badLength, badLength),
                Arguments.of(coding(" chunked"), CHUNKS, badCoding, half),
                Arguments.of(coding("Chunked "), CHUNKS, badCoding, half),
                Arguments.of(coding(" chunked") + length(" 4"), CHUNKS, badCoding, badCoding),
                Arguments.of(length(" 4") + coding(" chunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(length(" x") + coding(" chunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(" chunked") + coding(" chunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(" chunked, chunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(" gzip, chunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(" chunked, gzip"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(" identity") + length(" 4"), "half", badCoding, badCoding),
                Arguments.of(coding(" xchunked"), CHUNKS, badCoding, badCoding),
                Arguments.of(coding(""), "half", badCoding, badCoding));
    }

    /** Guards against a body that is a part of what was sent, because another reader would have ended it elsewhere. */
    @ParameterizedTest
    @MethodSource("table")
    void framingIsThatOfTheTable(String fields, String rest, Decoded inHttp10, Decoded inHttp11) {
        assertThat(response("HTTP/1.0", fields, rest)).isEqualTo(inHttp10);
        assertThat(response("HTTP/1.1", fields, rest)).isEqualTo(inHttp11);
    }

    /** Guards against a body that is taken from behind a response that has none. */
    @ParameterizedTest
    @ValueSource(strings = {"204", "304", "HEAD"})
    void responseWithoutABodyEndsWithItsHead(String kind) {
        HttpMethod method = kind.equals("HEAD") ? HttpMethod.HEAD : HttpMethod.GET;
        String status = kind.equals("HEAD") ? "200" : kind;
        for (String version : VERSIONS) {
            String head = version + " " + status + " x\r\n";
            assertThat(decode(method, head + "\r\nhalf")).isEqualTo(Decoded.whole(""));
            assertThat(decode(method, head + length("4") + "\r\nhalf")).isEqualTo(Decoded.whole(""));
            assertThat(decode(method, head + length("2") + length("4") + "\r\nhalf"))
                    .isEqualTo(Decoded.rejected(MessageFault.CONTENT_LENGTH));
            assertThat(decode(method, head + coding("chunked") + length("4") + "\r\nhalf"))
                    .isEqualTo(Decoded.rejected(MessageFault.TRANSFER_ENCODING));
        }
        assertThat(decode(method, "HTTP/1.1 " + status + " x\r\n" + coding("chunked") + "\r\n" + CHUNKS))
                .isEqualTo(Decoded.whole(""));
    }

    /** Guards against bytes that are taken for the body of a response that leaves the protocol, by an early draft. */
    @Test
    void interimResponsesHaveNoBody() {
        for (String fields :
                List.of("", "upgrade: websocket\r\nsec-websocket-origin: a\r\nsec-websocket-location: b\r\n")) {
            String interim = "HTTP/1.1 101 x\r\n" + fields + "\r\n";
            assertThat(decode(HttpMethod.GET, interim + "HTTP/1.1 200 OK\r\n" + length("4") + "\r\nhalf"))
                    .isEqualTo(Decoded.whole(""));
        }
    }

    static Stream<Arguments> chunks() {
        Decoded half = Decoded.whole("half");
        Decoded bad = Decoded.rejected(MessageFault.CHUNK);
        return Stream.of(
                Arguments.of(CHUNKS, half),
                Arguments.of("2\r\nha\r\n2\r\nlf\r\n0\r\n\r\n", half),
                Arguments.of("0004\r\nhalf\r\n000\r\n\r\n", half),
                Arguments.of("4;a=b\r\nhalf\r\n0;c\r\n\r\n", half),
                Arguments.of("4 ; a=\"b;c\"\r\nhalf\r\n0 \r\n\r\n", half),
                Arguments.of("4\nhalf\n0\n\n", half),
                Arguments.of("4\r\nhalf\r\n0\r\nx-late: 1\r\n\r\n", half),
                Arguments.of("4\r\nhalfmore\r\n0\r\n\r\n", bad),
                Arguments.of("4\r\nhalf \r\n0\r\n\r\n", bad),
                Arguments.of("4\r\nhalf\r\r\n0\r\n\r\n", bad),
                Arguments.of("4\r\nhalf0\r\n\r\n", bad),
                Arguments.of("2\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4 2\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4,2\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4\0\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4\rx\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4;\0\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of(" 4\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("\r\n4\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("+4\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("-4\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("0x4\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("4x\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("\u0664\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("100000004\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("10000000000000004\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of(";a\r\nhalf\r\n0\r\n\r\n", bad),
                Arguments.of("zz\r\nhalf\r\n0\r\n\r\n", bad));
    }

    /** Guards against bytes of a body that are skipped, because they stand where no body is expected. */
    @ParameterizedTest
    @MethodSource("chunks")
    void chunksEndWhereTheirSizesSay(String chunks, Decoded expected) {
        String head = "HTTP/1.1 200 OK\r\n" + coding(" chunked") + "\r\n";
        assertThat(decode(HttpMethod.GET, head + chunks)).isEqualTo(expected);
        assertThat(decode(HttpMethod.GET, head, chunks)).isEqualTo(expected);
        assertThat(decode(HttpMethod.GET, (head + chunks).split("")))
                .as("byte by byte")
                .isEqualTo(expected);
        for (int cut = 1; cut < chunks.length(); cut++) {
            assertThat(decode(HttpMethod.GET, head + chunks.substring(0, cut), chunks.substring(cut)))
                    .as("cut after %s bytes", cut)
                    .isEqualTo(expected);
        }
    }

    /** Guards against an outcome that differs from the table for fields in any number, order, case and reads. */
    @Test
    void anyHeadIsFramedByTheTable() {
        for (int seed = 0; seed < FUZZ_SEEDS; seed++) {
            Random random = new Random(seed);
            List<String> lengths = some(random, List.of("4", " 4", "04", "2", "4,4", "-4", "x", ""));
            List<String> codings = some(random, List.of("chunked", " CHUNKED", "gzip", "gzip, chunked", ""));
            boolean http10 = random.nextInt(3) == 0;
            List<String> fields = new ArrayList<>();
            lengths.forEach(
                    value -> fields.add(field(random.nextBoolean() ? "content-length" : "Content-Length", value)));
            codings.forEach(value ->
                    fields.add(field(random.nextBoolean() ? "transfer-encoding" : "TRANSFER-encoding", value)));
            fields.add("x-content-length: 9\r\n");
            Collections.shuffle(fields, random);
            String text = (http10 ? "HTTP/1.0" : "HTTP/1.1") + " 200 OK\r\n" + String.join("", fields) + "\r\n"
                    + (codings.isEmpty() ? "half" : CHUNKS);
            int cut = 1 + random.nextInt(text.length() - 1);
            assertThat(decode(HttpMethod.GET, text.substring(0, cut), text.substring(cut)))
                    .as("seed %s: %s", seed, text)
                    .isEqualTo(byTheTable(lengths, codings, http10));
        }
    }

    private static List<String> some(Random random, List<String> values) {
        int count = Math.max(0, random.nextInt(5) - 2);
        return random.ints(count, 0, values.size()).mapToObj(values::get).toList();
    }

    private static Decoded byTheTable(List<String> lengths, List<String> codings, boolean http10) {
        if (!codings.isEmpty()) {
            boolean sound = codings.size() == 1
                    && codings.get(0).strip().equalsIgnoreCase("chunked")
                    && lengths.isEmpty()
                    && !http10;
            return sound ? Decoded.whole("half") : Decoded.rejected(MessageFault.TRANSFER_ENCODING);
        }
        if (lengths.isEmpty()) {
            return Decoded.open("half");
        }
        boolean sound = lengths.size() == 1 && lengths.get(0).strip().matches("[0-9]+");
        if (!sound) {
            return Decoded.rejected(MessageFault.CONTENT_LENGTH);
        }
        return Decoded.whole("half".substring(0, Integer.parseInt(lengths.get(0).strip())));
    }
}
