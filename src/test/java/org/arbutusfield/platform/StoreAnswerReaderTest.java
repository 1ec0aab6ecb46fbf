package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.StoreItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The store's answers in any number of parts. */
class StoreAnswerReaderTest {
    private static final String CHANGES = "{\"other\":{\"at\":1,\"events\":[{\"key\":\"no\",\"value\":\"\"}]},"
            + "\"events\":[{\"key\":\"a\",\"value\":\"eHk=\",\"revision\":7,\"created\":5,\"lease\":0,\"x\":[{\"key\":\"no\"}]},"
            + "{\"revision\":8,\"key\":\"b\",\"deleted\":true},{\"key\":\"\u00e4\",\"value\":\"\",\"revision\":9}],"
            + "\"more\":[1],\"at\":9}";

    private final List<String> items = new ArrayList<>();

    private final class Recorder implements ItemSink {
        @Override
        public void written(StoreItem item) {
            items.add(item.key() + "=" + item.value().text() + "@" + item.revision() + "," + item.createdRevision());
        }

        @Override
        public void removed(String key, long revision) {
            items.add(key + " removed@" + revision);
        }
    }

    private Either<Failure, StoreAnswer> read(int status, List<byte[]> parts) {
        items.clear();
        StoreAnswerReader reader = StoreAnswerReader.of("watch", new Recorder());
        reader.head(status, List.of());
        for (byte[] part : parts) {
            Optional<Failure> failure = reader.body(Unpooled.wrappedBuffer(part));
            if (failure.isPresent()) {
                return Either.left(failure.get());
            }
        }
        return reader.result();
    }

    private Either<Failure, StoreAnswer> read(String text) {
        return read(200, List.of(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void changesAreReadInAnyNumberOfParts() {
        byte[] bytes = CHANGES.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            byte[] first = Arrays.copyOf(bytes, cut);
            byte[] second = Arrays.copyOfRange(bytes, cut, bytes.length);
            StoreAnswer answer = read(200, List.of(first, second)).get();
            assertThat(answer.at()).isEqualTo(9);
            assertThat(items).containsExactly("a=xy@7,5", "b removed@8", "\u00e4=@9,9");
        }
    }

    @Test
    void pageIsRead() {
        StoreAnswer answer =
                read("{\"items\":[{\"key\":\"a\",\"value\":\"eA\",\"revision\":1}],\"has_more\":true,\"at\":3}")
                        .get();
        assertThat(answer).isEqualTo(new StoreAnswer(200, List.of(), true, 3));
        assertThat(items).containsExactly("a=x@1,1");
        assertThat(read("{\"at\":4,\"items\":[]}").get()).isEqualTo(new StoreAnswer(200, List.of(), false, 4));
    }

    /** Guards against an answer that is taken for whole, or for understood, and leaves the host behind the store. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "7",
                "{}",
                "{\"at\":\"9\"}",
                "{\"at\":9.5}",
                "{\"at\":9",
                "{\"at\":9}}",
                "{\"at\":99999999999999999999}",
                "{\"events\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":7}],\"at\":9",
                "{\"events\":[{\"key\":\"a\",\"revision\":7}],\"at\":9}",
                "{\"events\":[{\"value\":\"eA==\",\"revision\":7}],\"at\":9}",
                "{\"events\":[{\"key\":7,\"value\":\"eA==\",\"revision\":7}],\"at\":9}",
                "{\"events\":[{\"key\":\"a\",\"value\":\"!\",\"revision\":7}],\"at\":9}",
                "{\"events\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":\"7\"}],\"at\":9}",
                "{\"events\":[7],\"at\":9}",
                "{\"events\":[[{\"key\":\"a\"}]],\"at\":9}",
                "{\"events\":[{\"key\":\"a\",\"value\":{},\"revision\":7}],\"at\":9}",
            })
    void answerThatIsNotUnderstoodIsUnusable(String text) {
        Either<Failure, StoreAnswer> answer = read(text);
        assertThat(answer.isLeft()).isTrue();
        assertThat(answer.getLeft().code()).isEqualTo(ErrorCode.STORE_ANSWER_UNUSABLE);
    }

    /** Guards against a line of the log that quotes what may be a team's key. */
    @Test
    void failureDoesNotQuoteTheAnswer() {
        assertThat(read("{\"at\":secret}").getLeft().toString()).doesNotContain("secret");
    }

    @Test
    void bodyOfAnErrorIsSkipped() {
        assertThat(read(503, List.of("no JSON".getBytes(StandardCharsets.UTF_8)))
                        .get()
                        .status())
                .isEqualTo(503);
    }

    /** Guards against an answer without end. */
    @Test
    void answerAboveTheLimitIsGivenUp() {
        byte[] blanks = " ".repeat(1 << 20).getBytes(StandardCharsets.US_ASCII);
        List<byte[]> parts = Collections.nCopies(65, blanks);
        assertThat(read(200, parts).getLeft().code()).isEqualTo(ErrorCode.STORE_ANSWER_UNUSABLE);
    }
}
