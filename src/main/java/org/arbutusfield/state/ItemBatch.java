package org.arbutusfield.state;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.StoreItem;

/**
 * The items of one answer of the store, or of all pages of a listing: the newest state of each key, decoded.
 *
 * <p>Problem: an answer may have many versions of a large item, and many large items. Their values together may fill
 * the heap.
 *
 * <p>Idea: what a later write replaces is dropped, as a listing would not have it either. Values are decoded while the
 * answer arrives and not kept, but for one: the largest waits, because decoding is dear and its next version would make
 * it vain.
 *
 * <p>Invariants: at most one value isn't decoded, and none that arrived since is larger. Of the decoded ones only the
 * configuration's is kept.
 *
 * <p>Example: 25 versions of a configuration of 1 MB, with entries of upstreams in between. Each version takes the
 * place of the one before, and the last is decoded when the batch is used.
 *
 * <p>Not thread-safe.
 */
final class ItemBatch implements ItemSink {
    private final ItemDecoder decoder;
    private final Map<String, ReadItem> items = new LinkedHashMap<>();
    private Optional<StoreItem> undecoded = Optional.empty();
    private String lastKey = "";
    private String lastKeyOfPages = "";
    private int pages;

    private ItemBatch(ItemDecoder decoder) {
        this.decoder = decoder;
    }

    /** Creates an empty batch whose values the decoder reads. */
    static ItemBatch of(ItemDecoder decoder) {
        return new ItemBatch(decoder);
    }

    @Override
    public void written(StoreItem item) {
        lastKey = item.key();
        items.remove(item.key());
        undecoded = undecoded.filter(waiting -> !waiting.key().equals(item.key()));
        boolean waits = undecoded.isEmpty()
                || item.value().length() > undecoded.get().value().length();
        if (!waits) {
            decode(item);
            return;
        }
        undecoded.ifPresent(this::decode);
        undecoded = Optional.of(item);
    }

    @Override
    public void removed(String key, long revision) {
        undecoded.filter(waiting -> waiting.key().equals(key)).ifPresent(waiting -> {
            decode(waiting);
            undecoded = Optional.empty();
        });
        ReadItem written = items.remove(key);
        items.put(key, written == null ? ReadItem.removed(key, revision) : written.thenRemoved());
    }

    /** Key of the item that was written last; empty if none was. */
    String lastKey() {
        return lastKey;
    }

    /** Ends a page of a listing; returns false if the page had no items, so that there is nothing to go on from. */
    boolean endPage() {
        boolean empty = lastKey.equals(lastKeyOfPages);
        lastKeyOfPages = lastKey;
        pages++;
        return !empty;
    }

    /** Number of pages that have ended. */
    int pages() {
        return pages;
    }

    /** The items, one for each key. */
    Collection<ReadItem> items() {
        undecoded.ifPresent(this::decode);
        undecoded = Optional.empty();
        return items.values();
    }

    private void decode(StoreItem item) {
        Either<Failure, StateItem> content = decode(item.key(), item.value());
        boolean configuration = content.isRight() && content.get() instanceof StateItem.Routes;
        items.put(
                item.key(),
                new ReadItem(
                        item.key(),
                        item.revision(),
                        item.createdRevision(),
                        false,
                        Optional.of(content),
                        configuration ? Optional.of(item.value()) : Optional.empty()));
    }

    /** Decodes an item. One that the decoder fails at must not keep the others from being read. */
    private Either<Failure, StateItem> decode(String key, Body value) {
        try {
            return decoder.decode(key, value.bytes());
        } catch (RuntimeException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, e.toString()));
        }
    }
}
