package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;

/** Stores immutable segments under their digests. Writing a segment is idempotent. */
final class SegmentStore {
    private static final String PREFIX = "arbutusfield/segment/";
    private static final int MAX_CONCURRENT_CALLS = 8;

    private final Store store;
    private final RetryPolicy retryPolicy;

    private SegmentStore(Store store, RetryPolicy retryPolicy) {
        this.store = store;
        this.retryPolicy = retryPolicy;
    }

    /** Creates a segment store that retries failed calls. */
    static SegmentStore of(Store store, RetryPolicy retryPolicy) {
        return new SegmentStore(store, retryPolicy);
    }

    /** Store key of a segment. */
    static String keyOf(String digest) {
        return PREFIX + digest;
    }

    /** Writes the segments that are not in the store yet. Stops at the first batch with a failure. */
    CompletableFuture<Either<Failure, Integer>> writeAll(List<Segment> segments) {
        return writeFrom(segments, 0);
    }

    /** Reads segments and verifies each against its digest. */
    CompletableFuture<Either<Failure, Map<String, byte[]>>> readAll(List<String> digests) {
        return readFrom(digests, 0, new LinkedHashMap<>());
    }

    /** Reads one segment and verifies it against its digest; {@code STORE_CORRUPT} when it is missing or damaged. */
    CompletableFuture<Either<Failure, byte[]>> read(String digest) {
        return retryPolicy
                .retry(() -> store.read(keyOf(digest)))
                .thenApply(result -> result.flatMap(value -> value.map(VersionedValue::value)
                        .filter(bytes -> Digests.sha256(bytes).equals(digest))
                        .<Either<Failure, byte[]>>map(Either::right)
                        .orElseGet(() -> Either.left(
                                Failure.of(ErrorCode.STORE_CORRUPT, digest, "segment is missing or damaged")))));
    }

    private CompletableFuture<Either<Failure, Integer>> writeFrom(List<Segment> segments, int start) {
        if (start >= segments.size()) {
            return CompletableFuture.completedFuture(Either.right(segments.size()));
        }
        List<Segment> batch = segments.subList(start, Math.min(segments.size(), start + MAX_CONCURRENT_CALLS));
        List<CompletableFuture<Either<Failure, Long>>> calls =
                batch.stream().map(this::write).toList();
        return allOf(calls).thenCompose(done -> {
            for (CompletableFuture<Either<Failure, Long>> call : calls) {
                if (call.join().isLeft()) {
                    return CompletableFuture.completedFuture(
                            Either.left(call.join().getLeft()));
                }
            }
            return writeFrom(segments, start + MAX_CONCURRENT_CALLS);
        });
    }

    private CompletableFuture<Either<Failure, Long>> write(Segment segment) {
        return retryPolicy.retry(() -> store.compareAndSwap(keyOf(segment.digest()), 0, segment.bytes())
                .thenApply(SegmentStore::treatPresentAsWritten));
    }

    private static Either<Failure, Long> treatPresentAsWritten(Either<Failure, Long> result) {
        return result.isLeft() && result.getLeft().code() == ErrorCode.STORE_CONFLICT ? Either.right(1L) : result;
    }

    private CompletableFuture<Either<Failure, Map<String, byte[]>>> readFrom(
            List<String> digests, int start, Map<String, byte[]> found) {
        if (start >= digests.size()) {
            return CompletableFuture.completedFuture(Either.right(found));
        }
        List<String> batch = digests.subList(start, Math.min(digests.size(), start + MAX_CONCURRENT_CALLS));
        List<CompletableFuture<Either<Failure, byte[]>>> calls =
                batch.stream().map(this::read).toList();
        return allOf(calls).thenCompose(done -> {
            for (int i = 0; i < calls.size(); i++) {
                Either<Failure, byte[]> result = calls.get(i).join();
                if (result.isLeft()) {
                    return CompletableFuture.completedFuture(Either.left(result.getLeft()));
                }
                found.put(batch.get(i), result.get());
            }
            return readFrom(digests, start + MAX_CONCURRENT_CALLS, found);
        });
    }

    private static CompletableFuture<Void> allOf(List<? extends CompletableFuture<?>> calls) {
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
    }
}
