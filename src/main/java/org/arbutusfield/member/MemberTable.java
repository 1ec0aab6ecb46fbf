package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * All members that a host knows, with digests by which two hosts find the differing parts of their tables. Immutable; a
 * changed table shares its unchanged parts with the previous one.
 *
 * <p>The digest of a bucket is the sum of its members' fingerprints, so one change costs one subtraction and one
 * addition, and tables of the same members have the same digests, whatever order the members were added in.
 */
public final class MemberTable {
    /** Number of buckets. Each bucket is compared and transferred separately. */
    public static final int BUCKETS = 512;

    private static final MemberTable EMPTY = new MemberTable(HashMap.empty(), new long[BUCKETS], 0, 0);

    private final HashMap<String, Rumour> rumours;
    private final long[] buckets;
    private final long digest;
    private final int present;

    private MemberTable(HashMap<String, Rumour> rumours, long[] buckets, long digest, int present) {
        this.rumours = rumours;
        this.buckets = buckets;
        this.digest = digest;
        this.present = present;
    }

    /** The table without members. */
    public static MemberTable empty() {
        return EMPTY;
    }

    /** The current rumour about a member. */
    public Optional<Rumour> find(String name) {
        return rumours.get(name).toJavaOptional();
    }

    /** The current rumours about all members, in no particular order. */
    public Iterable<Rumour> rumours() {
        return rumours.values();
    }

    /** Number of known members, including leaving and dead ones. */
    public int size() {
        return rumours.size();
    }

    /** Number of present members. */
    public int presentCount() {
        return present;
    }

    /** Digest of the present members. */
    public long digest() {
        return digest;
    }

    /** Digests of the buckets, in order. */
    public List<Long> bucketDigests() {
        List<Long> digests = new ArrayList<>(BUCKETS);
        for (long bucket : buckets) {
            digests.add(bucket);
        }
        return digests;
    }

    /** The table with this rumour in place of an earlier one about the same member. */
    public MemberTable with(Rumour rumour) {
        Rumour previous = rumours.getOrElse(rumour.member().name(), null);
        return withReplaced(
                rumour.member().name(),
                previous,
                rumour,
                rumours.put(rumour.member().name(), rumour));
    }

    /** The table without a member. */
    public MemberTable without(String name) {
        Rumour previous = rumours.getOrElse(name, null);
        return withReplaced(name, previous, null, rumours.remove(name));
    }

    /**
     * The rumours in the buckets whose digests differ from the given ones. A bucket is returned as a whole or not at
     * all.
     *
     * @param digests bucket digests of the other table; buckets missing from the list count as different
     * @param limit no further bucket is added once there are this many rumours
     */
    public List<Rumour> differing(List<Long> digests, int limit) {
        List<Rumour> found = new ArrayList<>();
        List<List<Rumour>> byBucket = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            byBucket.add(new ArrayList<>());
        }
        rumours.values()
                .forEach(rumour -> byBucket.get(bucket(rumour.member().name())).add(rumour));
        int first = firstBucket(digests);
        for (int i = 0; i < BUCKETS && found.size() < limit; i++) {
            int bucket = (first + i) % BUCKETS;
            if (bucket >= digests.size() || digests.get(bucket) != buckets[bucket]) {
                found.addAll(byBucket.get(bucket));
            }
        }
        return found;
    }

    /**
     * The first bucket to compare. It depends on the requester's digests, so that the limit does not leave out the same
     * buckets each time.
     */
    private static int firstBucket(List<Long> digests) {
        long sum = 0;
        for (long bucket : digests) {
            sum += bucket;
        }
        return (int) Long.remainderUnsigned(Hashing.mix(sum), BUCKETS);
    }

    private MemberTable withReplaced(String name, Rumour previous, Rumour later, HashMap<String, Rumour> next) {
        long before = previous == null ? 0 : previous.fingerprint();
        long after = later == null ? 0 : later.fingerprint();
        int change = count(later) - count(previous);
        if (before == after) {
            return new MemberTable(next, buckets, digest, present + change);
        }
        long[] changed = buckets.clone();
        changed[bucket(name)] += after - before;
        return new MemberTable(next, changed, digest + after - before, present + change);
    }

    private static int count(Rumour rumour) {
        return rumour != null && rumour.state().present() ? 1 : 0;
    }

    private static int bucket(String name) {
        return (int) Long.remainderUnsigned(Hashing.fnv1a(name), BUCKETS);
    }
}
