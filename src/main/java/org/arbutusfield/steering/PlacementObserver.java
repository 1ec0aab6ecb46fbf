package org.arbutusfield.steering;

import org.arbutusfield.proxy.RequestFacts;

/** Learns where requests are placed and why. Does not block. */
@FunctionalInterface
public interface PlacementObserver {
    /** Called once for each try, before it is sent. */
    void placed(RequestFacts request, Choice choice);
}
