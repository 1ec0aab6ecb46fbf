package org.arbutusfield.affinity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.ObjectHome;

/**
 * A host's copy of one service's plan: the homes of all objects as of a version of the plan, and the fallbacks that
 * this host chose itself where the planner gave no home.
 *
 * <p>Runs on one event loop.
 */
final class CachedPlan {
    /** When the copy has more homes than this, it is cleared, and this host queries those in use again. */
    private static final int MAX_HOMES = 20_000;

    private final Map<Long, String> homes = new HashMap<>();
    private long planId;
    private long version;

    private CachedPlan() {}

    /** Creates an empty copy. */
    static CachedPlan empty() {
        return new CachedPlan();
    }

    /** Id of the plan; 0 before the first response. */
    long planId() {
        return planId;
    }

    /** Version of the plan. */
    long version() {
        return version;
    }

    /** Returns the home of an object, if it is known. */
    Optional<String> home(long key) {
        return Optional.ofNullable(homes.get(key));
    }

    /** Records the upstream that serves an object while the planner gives no home, unless its home is known. */
    void addFallback(long key, String upstream) {
        homes.putIfAbsent(key, upstream);
    }

    /** Removes the home of an object because it can't be used. */
    void remove(long key) {
        homes.remove(key);
    }

    /** Applies a planner's response. A response that is older than the current version of the same plan is ignored. */
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
