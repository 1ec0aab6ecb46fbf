package org.arbutusfield.store;

import java.time.Duration;

/**
 * A lease granted by the store.
 *
 * @param key key of the lease
 * @param holder name of the holder
 * @param token fencing token: increases with each change of holder, so that writes of a previous holder can be rejected
 * @param duration lifetime of the lease, from the time when the store receives the call
 */
public record Lease(String key, String holder, long token, Duration duration) {}
