package org.arbutusfield.affinity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.ObjectHome;

/**
 * What a host knows of one service's plan: the homes of all objects as of a version of the plan, and the fallbacks that
 * this host chose itself where the planner could not tell.
 *
 * <p>Runs on one event loop.
 */
final class CachedPlan {
    /** When there are more, all are forgotten, and this host asks anew for those in use. */
    private static final int MAX_HOMES = 20_000;

    private final Map<Long, String> homes = new HashMap<>();
    private long planId;
    private long version;

    private CachedPlan() {}

    /** Nothing known yet. */
    static CachedPlan empty() {
        return new CachedPlan();
    }

    /** The plan that is known; 0 before the first answer. */
    long planId() {
        return planId;
    }

    /** The version of the plan that is known. */
    long version() {
        return version;
    }

    /** The home of an object, if it is known. */
    Optional<String> home(long key) {
        return Optional.ofNullable(homes.get(key));
    }

    /** Notes where an object is served for want of a planner. */
    void addFallback(long key, String upstream) {
        homes.putIfAbsent(key, upstream);
    }

    /** Forgets a home that can't be used. */
    void remove(long key) {
        homes.remove(key);
    }

    /** Takes over a planner's answer. An answer that was overtaken by a later one of the same plan is ignored. */
    void apply(HomeAnswer answer) {
        if (answer.getPlanId() == planId && answer.getPlanVersion() < version) {
            return;
        }
        if (homes.size() > MAX_HOMES) {
            homes.clear();
        }
        planId = answer.getPlanId();
        version = answer.getPlanVersion();
        for (ObjectHome home : answer.getObjects()) {
            homes.put(home.getKey(), home.getUpstream());
        }
    }
}
