package org.arbutusfield.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * The platform's key-value store.
 *
 * <p>Contract:
 *
 * <ul>
 *   <li>Calls never block; every returned future completes within the adapter's timeout, and never exceptionally: a
 *       failure is a {@code Left}.
 *   <li>Each key has a version: 0 while absent, then larger with each write. A compare-and-swap takes effect only if
 *       the version is the expected one, else it fails with {@code STORE_CONFLICT}.
 *   <li>{@code STORE_UNAVAILABLE} means the call had no effect. {@code STORE_TIMEOUT} and {@code STORE_PROTOCOL} mean
 *       it may have had: read before writing again.
 *   <li>Values are at most {@link #MAX_VALUE_BYTES}.
 *   <li>Every call counts against the store's rate; a waiting watch counts as one read.
 * </ul>
 */
public interface Store {
    /** Largest value, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads a key; empty when absent. */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key);

    /**
     * Writes a value if the key still has the expected version.
     *
     * @param key the key
     * @param expectedVersion version the caller read; 0 to create
     * @param value new content
     * @return the new version
     */
    CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * Waits until the key's version is above the given one, or the wait is over.
     *
     * @param key the key
     * @param afterVersion version already known
     * @param wait how long the store may hold the call
     * @return the newer value, or empty when the wait ended without one
     */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(String key, long afterVersion, Duration wait);

    /**
     * Takes or renews a lease. A holder renews by calling again under the same name.
     *
     * @param key the lease's key
     * @param holder who asks; unique per process incarnation
     * @param duration how long the lease lives from the store's receipt
     * @return the lease, or {@code LEASE_HELD} while another holder has it
     */
    CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration duration);

    /** Gives a lease up early; idempotent. */
    CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder);
}
