package org.arbutusfield.steering;

import java.util.List;
import java.util.Optional;
import org.arbutusfield.lookup.Rendezvous;
import org.arbutusfield.state.LiveUpstream;

/**
 * Which upstream an object's requests go to.
 *
 * <p>Problem: an upstream that handled an object lately needs a fraction of the time for it, so the requests of one
 * object should meet at one upstream, whichever host takes them, without a message between hosts.
 *
 * <p>Idea: weighted rendezvous hashing. Every host that knows the same upstreams computes the same order for an object,
 * and an upstream that comes or goes moves only its own objects.
 *
 * <p>Invariant: the choice depends on nothing but the object, the candidates and their slots.
 */
public final class ObjectAffinity {
    private ObjectAffinity() {}

    /** The key of an object: objects of different routes are different. */
    public static long keyOf(String route, String object) {
        return Rendezvous.mix(Rendezvous.hash(route) * 31 + Rendezvous.hash(object));
    }

    /** The candidate that comes first for the object; none if there are no candidates. */
    public static Optional<LiveUpstream> first(long key, List<LiveUpstream> candidates) {
        LiveUpstream best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (LiveUpstream candidate : candidates) {
            double score = Rendezvous.score(
                    candidate.nameHash(), key, candidate.upstream().slots());
            if (score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
