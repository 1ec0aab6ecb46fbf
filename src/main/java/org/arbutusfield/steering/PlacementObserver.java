package org.arbutusfield.steering;

import java.time.Duration;
import org.arbutusfield.proxy.PlacementRequest;

/** Observes which upstream each request is sent to, and why. Must not block. */
@FunctionalInterface
public interface PlacementObserver {
    /** Called once for each attempt, before the request is sent. */
    void placed(PlacementRequest request, Choice choice);

    /** Called for each request that is refused because of load. */
    default void refused(PlacementRequest request, PlacementRefusal refusal) {}

    /**
     * Called for each decision by load.
     *
     * @param expectedWait expected time until a slot is free at the home
     * @param knowledgeAge age of the home's statement
     */
    default void expected(Duration expectedWait, Duration knowledgeAge) {}
}
