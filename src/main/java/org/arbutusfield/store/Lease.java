package org.arbutusfield.store;

import java.time.Duration;

/**
 * A lease as granted by the store.
 *
 * @param key the lease's key
 * @param holder who holds it
 * @param token fencing token: grows with each change of holder, so that writes of an older holder can be refused
 * @param duration how long it lives from the moment the store received the call
 */
public record Lease(String key, String holder, long token, Duration duration) {}
