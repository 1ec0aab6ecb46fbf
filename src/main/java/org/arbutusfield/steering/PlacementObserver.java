package org.arbutusfield.steering;

import org.arbutusfield.proxy.PlacementRequest;

/** Observes which upstream each request is sent to, and why. Must not block. */
@FunctionalInterface
public interface PlacementObserver {
    /** Called once for each attempt, before the request is sent. */
    void placed(PlacementRequest request, Choice choice);
}
