package org.arbutusfield.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * A store of keys with one revision counter, whose changes can be followed by prefix.
 *
 * <p>Contract:
 *
 * <ul>
 *   <li>Calls do not block; every future completes within the adapter's timeout, and never exceptionally.
 *   <li>{@code STORE_UNAVAILABLE} means that nothing was done. {@code STORE_TIMEOUT} and {@code STORE_PROTOCOL} mean
 *       that the call may have been done, or may be done yet.
 *   <li>Every call has a price, refused ones too.
 * </ul>
 */
public interface WatchableStore {
    /**
     * One page of the items below a prefix; pages are not a snapshot.
     *
     * @param prefix what the keys begin with
     * @param afterKey key after which the page begins; empty for the first page
     */
    CompletableFuture<Either<Failure, ItemPage>> list(String prefix, String afterKey);

    /**
     * Waits for changes below a prefix.
     *
     * @param prefix what the keys begin with
     * @param afterRevision revision already known
     * @param wait how long the store may hold the call
     * @return the changes, perhaps none; {@code STORE_HISTORY_GONE} when they can't be told any more
     */
    CompletableFuture<Either<Failure, ItemChanges>> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Writes a value that lives as long as a lease.
     *
     * @return the revision; {@code LEASE_LAPSED} when there is no such lease
     */
    CompletableFuture<Either<Failure, Long>> put(String key, byte[] value, long leaseId);

    /** Takes a lease of the length, counted from the call's arrival; returns its number. */
    CompletableFuture<Either<Failure, Long>> grantLease(Duration length);

    /** Renews a lease; {@code LEASE_LAPSED} when it has ended. */
    CompletableFuture<Either<Failure, Long>> renewLease(long leaseId);

    /** Ends a lease and removes its keys. */
    CompletableFuture<Either<Failure, Long>> endLease(long leaseId);
}
