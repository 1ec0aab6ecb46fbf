package org.arbutusfield.proxy;

import org.arbutusfield.model.Service;

/** Limits the number of retries. Thread-safe; does not block. */
@FunctionalInterface
public interface RetryLimiter {
    /** Acquires the right to one retry of a request of the service; returns false if none is available. */
    boolean tryAcquire(Service service);
}
