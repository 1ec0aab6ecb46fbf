package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * All members that a host knows of, with digests by which two hosts find where their tables differ. Immutable; a
 * changed table shares what did not change with the one it came from.
 *
 * <p>The digest of a bucket is the sum of its members' fingerprints, so one change costs one subtraction and one
 * addition, and tables of the same members have the same digests in whatever order they learned of them.
 */
public final class MemberTable {
    /** Parts of the table that are compared and transferred on their own. */
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

    /** What is held of a member. */
    public Optional<Rumour> find(String name) {
        return rumours.get(name).toJavaOptional();
    }

    /** Everything held, in no particular order. */
    public Iterable<Rumour> rumours() {
        return rumours.values();
    }

    /** How many members are known, those that are gone included. */
    public int size() {
        return rumours.size();
    }

    /** How many members are there. */
    public int presentCount() {
        return present;
    }

    /** Digest over the members that are there. */
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

    /** The table with this statement in place of an earlier one about the same member. */
    public MemberTable with(Rumour rumour) {
        Rumour earlier = rumours.getOrElse(rumour.member().name(), null);
        return replaced(
                rumour.member().name(),
                earlier,
                rumour,
                rumours.put(rumour.member().name(), rumour));
    }

    /** The table without a member. */
    public MemberTable without(String name) {
        Rumour earlier = rumours.getOrElse(name, null);
        return replaced(name, earlier, null, rumours.remove(name));
    }

    /**
     * The statements in the buckets whose digests differ from the given ones, in whole buckets.
     *
     * @param digests the other table's digests; buckets beyond the list count as different
     * @param limit statements after which no further bucket is added
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

    /** Where to start, another for each state of the asker, so that the limit leaves no bucket out for ever. */
    private static int firstBucket(List<Long> digests) {
        long sum = 0;
        for (long bucket : digests) {
            sum += bucket;
        }
        return (int) Long.remainderUnsigned(Hashing.mix(sum), BUCKETS);
    }

    private MemberTable replaced(String name, Rumour earlier, Rumour later, HashMap<String, Rumour> next) {
        long before = earlier == null ? 0 : earlier.fingerprint();
        long after = later == null ? 0 : later.fingerprint();
        int change = count(later) - count(earlier);
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
        return (int) Long.remainderUnsigned(Hashing.name(name), BUCKETS);
    }
}
