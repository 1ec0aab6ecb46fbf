package org.arbutusfield.steering;

import org.arbutusfield.proxy.PlacementRequest;

/** Learns where requests are placed and why. Does not block. */
@FunctionalInterface
public interface PlacementObserver {
    /** Called once for each try, before it is sent. */
    void placed(PlacementRequest request, Choice choice);
}
