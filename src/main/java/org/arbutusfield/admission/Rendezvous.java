package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: hosts with the same list of live hosts agree on the owner of each key, and the loss of a host
 * moves only the keys that it owned.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Rendezvous() {}

    /**
     * Returns the host that owns the key.
     *
     * @param key any text
     * @param hosts names of the live hosts, in any order
     * @return empty if there are no hosts
     */
    public static Optional<String> owner(String key, Collection<String> hosts) {
        return hosts.stream().max(byWeight(key));
    }

    /**
     * All hosts in order of preference: the owner of the key first, then the host that would own it without the first,
     * and so on.
     */
    public static List<String> ranking(String key, Collection<String> hosts) {
        List<String> ranked = new ArrayList<>(hosts);
        ranked.sort(byWeight(key).reversed());
        return ranked;
    }

    /** Returns a well-mixed hash of the text that is the same on every host. */
    static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * MIX_1;
        hash = (hash ^ (hash >>> 27)) * MIX_2;
        return hash ^ (hash >>> 31);
    }

    private static Comparator<String> byWeight(String key) {
        return Comparator.<String>comparingLong(host -> hash(key + "@" + host)).thenComparing(host -> host);
    }
}
