package org.arbutusfield.state;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.PageEnd;
import org.arbutusfield.store.StoreItem;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;

/** A store in memory on the content of the stand-in, without a network. */
public final class ContentStore implements WatchableStore {
    private static final int PAGE_ITEMS = 2;

    private final KeyValueContent content;
    private final TimerService timer;

    private ContentStore(KeyValueContent content, TimerService timer) {
        this.content = content;
        this.timer = timer;
    }

    /** A client of the content. */
    public static ContentStore of(KeyValueContent content, TimerService timer) {
        return new ContentStore(content, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String after, ItemSink items) {
        KeyValueContent.Page page = content.page(prefix, after, PAGE_ITEMS + 1);
        page.items().stream().limit(PAGE_ITEMS).map(ContentStore::item).forEach(items::written);
        return done(new PageEnd(page.items().size() > PAGE_ITEMS, revision(page.revision())));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> watch(
            String prefix, StoreRevision after, Duration wait, ItemSink changes) {
        CompletableFuture<Either<Failure, StoreRevision>> result = new CompletableFuture<>();
        completeOnChange(prefix, after.number(), changes, result);
        timer.after(wait, () -> result.complete(Either.right(revision(after.number()))));
        return result;
    }

    private void completeOnChange(
            String prefix, long after, ItemSink sink, CompletableFuture<Either<Failure, StoreRevision>> result) {
        if (result.isDone()) {
            return;
        }
        content.onNextChange(() -> completeOnChange(prefix, after, sink, result));
        Optional<KeyValueContent.Changes> changes = content.changes(prefix, after);
        if (changes.isEmpty()) {
            result.complete(Either.left(Failure.of(ErrorCode.STORE_HISTORY_GONE)));
        } else if (!changes.get().events().isEmpty()) {
            changes.get()
                    .events()
                    .forEach(event -> event.item()
                            .ifPresentOrElse(
                                    item -> sink.written(item(item)),
                                    () -> sink.removed(event.key(), event.revision())));
            result.complete(Either.right(revision(changes.get().revision())));
        }
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long leaseId) {
        Optional<Long> written = content.write(key, value, leaseId);
        return written.isPresent() ? done(revision(written.get())) : failed(ErrorCode.LEASE_LAPSED);
    }

    @Override
    public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long leaseId, long expectedRevision) {
        long present = content.revisionOf(key);
        if (present != expectedRevision) {
            return done(new ConditionalWrite(false, revision(present)));
        }
        return put(key, value, leaseId).thenApply(r -> r.map(written -> new ConditionalWrite(true, written)));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
        content.remove(key);
        return done(revision(content.revision()));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
        return done(new StoreLease(content.grantLease(duration), content.era()));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> renewLease(long leaseId) {
        return content.renewLease(leaseId) ? done(content.era()) : failed(ErrorCode.LEASE_LAPSED);
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> endLease(long leaseId) {
        return content.endLease(leaseId) ? done(leaseId) : failed(ErrorCode.LEASE_LAPSED);
    }

    private StoreRevision revision(long number) {
        return StoreRevision.of(content.era(), number);
    }

    private static StoreItem item(KeyValueContent.Item item) {
        return new StoreItem(item.key(), item.value(), item.revision(), item.createdRevision());
    }

    private static <T> CompletableFuture<Either<Failure, T>> done(T value) {
        return CompletableFuture.completedFuture(Either.right(value));
    }

    private static <T> CompletableFuture<Either<Failure, T>> failed(ErrorCode code) {
        return CompletableFuture.completedFuture(Either.left(Failure.of(code)));
    }
}
