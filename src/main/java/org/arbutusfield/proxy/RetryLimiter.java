package org.arbutusfield.proxy;

import org.arbutusfield.model.Service;

/** The budget for retries. Thread-safe; does not block. */
@FunctionalInterface
public interface RetryLimiter {
    /** Takes one retry of a request of the service from the budget; false if none is left. */
    boolean tryAcquire(Service service);
}
