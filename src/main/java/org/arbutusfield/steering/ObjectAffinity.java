package org.arbutusfield.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.LiveUpstream;

/**
 * Chooses the upstream for an object by weighted rendezvous hashing.
 *
 * <p>Problem: an upstream that handled an object recently needs a fraction of the time for its next request. The
 * requests for an object should therefore reach the same upstream from every host, without messages between hosts.
 *
 * <p>Idea: weighted rendezvous hashing. Every host that knows the same upstreams computes the same order for an object,
 * and an added or removed upstream moves only its own objects.
 *
 * <p>Invariant: the choice depends only on the object, the candidates and their slots.
 */
public final class ObjectAffinity {
    private ObjectAffinity() {}

    /** Returns the key of an object. The same object name has different keys on different routes. */
    public static long keyOf(String route, String object) {
        return WeightedRendezvous.mix(WeightedRendezvous.hash(route) * 31 + WeightedRendezvous.hash(object));
    }

    /** Returns the first candidate in the rendezvous order of the object, or empty when there are no candidates. */
    public static Optional<LiveUpstream> first(long key, List<LiveUpstream> candidates) {
        LiveUpstream best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (LiveUpstream candidate : candidates) {
            double score = WeightedRendezvous.score(
                    candidate.nameHash(), key, candidate.upstream().slots());
            if (score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the first candidates in the rendezvous order of the object, at most a given number. */
    static List<LiveUpstream> firstOf(long key, List<LiveUpstream> candidates, int max) {
        List<LiveUpstream> left = new ArrayList<>(candidates);
        List<LiveUpstream> chosen = new ArrayList<>();
        while (chosen.size() < max && !left.isEmpty()) {
            LiveUpstream next = first(key, left).orElseThrow();
            left.remove(next);
            chosen.add(next);
        }
        return chosen;
    }
}
