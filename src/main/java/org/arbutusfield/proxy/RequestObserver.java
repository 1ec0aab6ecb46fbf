package org.arbutusfield.proxy;

/** Gets the account of each finished request. Thread-safe; does not block. */
@FunctionalInterface
public interface RequestObserver {
    /** Observes nothing. */
    RequestObserver NONE = record -> {};

    /** Called once for each request, on its event loop. */
    void finished(RequestRecord record);
}
