package org.arbutusfield.platform;

import com.fasterxml.jackson.core.Base64Variant;
import com.fasterxml.jackson.core.Base64Variants;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.ResponseReader;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.StoreItem;

/**
 * Reads the store's answer to a list or a watch while it arrives, and passes on one item after the other.
 *
 * <p>Problem: an answer may hold many versions of a large item. Its bytes, its text and its values together are several
 * times as large as what is left in the end.
 *
 * <p>Idea: a parser that is fed part by part. At any time the reader holds one part of the body and one item.
 *
 * <p>Example:
 * {@code {"events":[{"key":"a","value":"eA==","revision":7},{"key":"b","revision":8,"deleted":true}],"at":8}} is passed
 * on as {@code written(a, "x", 7)} and {@code removed(b, 8)}; the answer's revision is 8.
 */
final class StoreAnswerReader implements ResponseReader<StoreAnswer> {
    private static final Logger LOG = LogManager.getLogger(StoreAnswerReader.class);
    private static final JsonFactory JSON = new JsonFactory();
    private static final Base64Variant BASE64 = Base64Variants.MIME_NO_LINEFEEDS.withPaddingAllowed();
    private static final int OK = 200;
    /** A larger answer is given up, so that the caller lists the store, which states each item once. */
    private static final long MAX_BODY_BYTES = 64 << 20;
    /** From here on an answer is logged. */
    private static final long LARGE_BODY_BYTES = 1 << 20;
    /** Depth of the fields of an item: within the answer's object, the list, and the item's object. */
    private static final int ITEM_DEPTH = 3;

    private final String kind;
    private final ItemSink items;
    private JsonParser parser;
    private int status;
    private List<Header> headers = List.of();
    private long bytes;
    private int count;
    private int depth;
    private boolean ended;
    private boolean inItems;
    private boolean hasMore;
    private OptionalLong at = OptionalLong.empty();
    private Item item = new Item();

    private StoreAnswerReader(String kind, ItemSink items) {
        this.kind = kind;
        this.items = items;
    }

    /** The fields of an item as far as they have been read. */
    private static final class Item {
        private String key;
        private byte[] value;
        private long revision;
        private long created = -1;
        private boolean deleted;
    }

    /**
     * Creates the reader of one answer.
     *
     * @param kind kind of the call, for the log
     * @param items takes the items
     */
    static StoreAnswerReader of(String kind, ItemSink items) {
        return new StoreAnswerReader(kind, items);
    }

    @Override
    public void head(int receivedStatus, List<Header> receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public Optional<Failure> body(ByteBuf part) {
        bytes += part.readableBytes();
        if (bytes > MAX_BODY_BYTES) {
            return Optional.of(unusable("more than " + MAX_BODY_BYTES + " bytes"));
        }
        if (status != OK || !part.isReadable()) {
            return Optional.empty();
        }
        try {
            byte[] fed = ByteBufUtil.getBytes(part);
            parser().feedInput(fed, 0, fed.length);
            takeTokens();
            return Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.of(unusable(PlatformItemDecoder.invalidJson(e)));
        } catch (IOException | InvalidFieldException e) {
            return Optional.of(unusable(e.getMessage()));
        }
    }

    @Override
    public Either<Failure, StoreAnswer> result() {
        if (bytes >= LARGE_BODY_BYTES) {
            LOG.info("event=store_answer_large call={} bytes={} items={}", kind, bytes, count);
        }
        if (status == OK && !(ended && at.isPresent())) {
            return Either.left(unusable("not an object with \"at\""));
        }
        return Either.right(new StoreAnswer(status, headers, hasMore, at.orElse(0)));
    }

    private ByteArrayFeeder parser() throws IOException {
        if (parser == null) {
            parser = JSON.createNonBlockingByteArrayParser();
        }
        return (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    private void takeTokens() throws IOException {
        for (JsonToken token = parser.nextToken();
                token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            take(token);
        }
    }

    private void take(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT, START_ARRAY -> begin(token);
            case END_OBJECT, END_ARRAY -> end();
            case FIELD_NAME -> {}
            default -> value(token);
        }
    }

    private void begin(JsonToken token) throws IOException {
        depth++;
        if (depth == 1 && token != JsonToken.START_OBJECT) {
            throw new InvalidFieldException("not an object");
        }
        if (depth == 2) {
            String name = parser.currentName();
            inItems = token == JsonToken.START_ARRAY && ("items".equals(name) || "events".equals(name));
        }
        if (depth == ITEM_DEPTH && inItems) {
            requireItem(token == JsonToken.START_OBJECT);
            item = new Item();
        }
    }

    private static void requireItem(boolean present) {
        if (!present) {
            throw new InvalidFieldException("item");
        }
    }

    private void end() {
        if (depth == ITEM_DEPTH && inItems) {
            pass(item);
        }
        depth--;
        inItems &= depth > 1;
        ended = depth == 0;
    }

    private void value(JsonToken token) throws IOException {
        requireItem(depth != ITEM_DEPTH - 1 || !inItems);
        if (depth == ITEM_DEPTH && inItems) {
            itemValue(token);
        } else if (depth == 1) {
            answerValue(token);
        }
    }

    private void answerValue(JsonToken token) throws IOException {
        switch (parser.currentName()) {
            case "at" -> at = OptionalLong.of(number(token));
            case "has_more" -> hasMore = token == JsonToken.VALUE_TRUE;
            default -> {}
        }
    }

    private void itemValue(JsonToken token) throws IOException {
        switch (parser.currentName()) {
            case "key" -> item.key = token == JsonToken.VALUE_STRING ? parser.getText() : null;
            case "value" -> item.value = token == JsonToken.VALUE_STRING ? parser.getBinaryValue(BASE64) : null;
            case "revision" -> item.revision = number(token);
            case "created" -> item.created = number(token);
            case "deleted" -> item.deleted = token == JsonToken.VALUE_TRUE;
            default -> {}
        }
    }

    private long number(JsonToken token) throws IOException {
        if (token != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidFieldException(parser.currentName());
        }
        return parser.getLongValue();
    }

    private void pass(Item read) {
        if (read.key == null || (read.value == null && !read.deleted)) {
            throw new InvalidFieldException("key or value");
        }
        count++;
        if (read.deleted) {
            items.removed(read.key, read.revision);
            return;
        }
        long created = read.created < 0 ? read.revision : read.created;
        items.written(new StoreItem(read.key, Body.of(read.value), read.revision, created));
        item = new Item();
    }

    private Failure unusable(String detail) {
        return Failure.of(ErrorCode.STORE_ANSWER_UNUSABLE, kind, detail);
    }
}
