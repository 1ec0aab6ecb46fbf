package org.arbutusfield.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/**
 * A key-value store with versioned values, compare-and-swap and leases.
 *
 * <p>Contract:
 *
 * <ul>
 *   <li>Calls never block. Every returned future completes within the timeout of the implementation, and never
 *       exceptionally: a failure is a {@code Left}.
 *   <li>Each key has a version, which is 0 while the key is absent and increases with each write. A compare-and-swap
 *       takes effect only if the version is the expected one; otherwise it fails with {@code STORE_CONFLICT}.
 *   <li>{@code STORE_UNAVAILABLE} means that the call had no effect. {@code STORE_TIMEOUT} and {@code STORE_PROTOCOL}
 *       mean that it may have had one: read before writing again.
 *   <li>Values have at most {@link #MAX_VALUE_BYTES} bytes.
 *   <li>Every call counts towards the rate limits of the store; a watch counts as one read, however long it waits.
 * </ul>
 */
public interface Store {
    /** Maximum size of a value, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads a value; empty when the key is absent. */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key);

    /**
     * Writes a value if the key still has the expected version.
     *
     * @param key the key
     * @param expectedVersion version that the caller read; 0 to create the key
     * @param value new content
     * @return the new version
     */
    CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * Waits until the version of the key is greater than the given one, or the wait ends (long poll).
     *
     * @param key the key
     * @param afterVersion version that the caller already has
     * @param wait maximum time that the store may hold the call
     * @return the newer value, or empty when the wait ended without one
     */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(String key, long afterVersion, Duration wait);

    /**
     * Acquires or renews a lease. A holder renews its lease by calling again with the same name.
     *
     * @param key key of the lease
     * @param holder name of the holder; unique per process incarnation
     * @param duration lifetime of the lease, from the time when the store receives the call
     * @return the lease, or {@code LEASE_HELD} while another holder has it
     */
    CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration duration);

    /**
     * Releases a lease before it expires; idempotent. Returns false when the store did not release it, for example
     * because another holder has it.
     */
    CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder);
}
