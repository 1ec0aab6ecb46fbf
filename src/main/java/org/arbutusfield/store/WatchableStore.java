package org.arbutusfield.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * A key-value store with one revision counter for all keys, which supports lists and watches by key prefix and keys
 * bound to leases.
 *
 * <p>Contract:
 *
 * <ul>
 *   <li>Calls do not block. Every future completes within the timeout of the implementation, and never exceptionally.
 *   <li>{@code STORE_UNAVAILABLE} means that the call had no effect. {@code STORE_TIMEOUT} and {@code STORE_PROTOCOL}
 *       mean that the call may have taken effect, or may still do so.
 *   <li>{@code STORE_ANSWER_UNUSABLE} means that the answer of a list or a watch began, and can't be used: it is too
 *       large, too slow, cut or not understood. The same call may end in the same way again.
 *   <li>Every successful result tells the era of the store, see {@link StoreRevision}.
 *   <li>Every call has a cost, including rejected ones.
 * </ul>
 */
public interface WatchableStore {
    /**
     * Lists one page of the items with a key prefix. The pages of a list are not a consistent snapshot.
     *
     * @param prefix the key prefix
     * @param afterKey exclusive lower bound of the keys; empty for the first page
     * @param items takes the items, in order of key
     */
    CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String afterKey, ItemSink items);

    /**
     * Waits for changes of items with a key prefix (long poll).
     *
     * @param prefix the key prefix
     * @param after revision that the caller already has
     * @param wait maximum time that the store may hold the call
     * @param changes takes the changes, possibly none
     * @return the revision to pass to the next watch; if its era is later than that of {@code after}, the changes do
     *     not continue from it and the caller must list again. {@code STORE_HISTORY_GONE} when the store does not have
     *     the changes since that revision
     */
    CompletableFuture<Either<Failure, StoreRevision>> watch(
            String prefix, StoreRevision after, Duration wait, ItemSink changes);

    /**
     * Writes a value that is removed when its lease ends.
     *
     * @return the revision of the write; {@code LEASE_LAPSED} when the lease does not exist or has ended
     */
    CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long leaseId);

    /**
     * Writes a value that is removed when its lease ends, if the item has not changed since a revision. A call without
     * a result that is carried out late does no harm if the item was written again in the meantime.
     *
     * @param expectedRevision revision of the item's last change; 0 if there must be no such item
     * @return whether it was written; {@code LEASE_LAPSED} when the lease does not exist or has ended
     */
    CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long leaseId, long expectedRevision);

    /** Removes a key and returns the revision of the store after it; no error if there is no such key. */
    CompletableFuture<Either<Failure, StoreRevision>> remove(String key);

    /** Creates a lease of the given duration, from the time when the store receives the call. */
    CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration);

    /** Renews a lease and returns the era of the store; {@code LEASE_LAPSED} when the lease has ended. */
    CompletableFuture<Either<Failure, Long>> renewLease(long leaseId);

    /** Ends a lease and removes the keys bound to it. */
    CompletableFuture<Either<Failure, Long>> endLease(long leaseId);
}
