package org.arbutusfield.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * All client blocks of one configuration, as a sorted list of compactly encoded segments.
 *
 * <p><b>Problem.</b> There may be 1.6 million blocks. As objects they would take some hundred bytes each, and encoded
 * as one value they would exceed the limit of the store. If segments had a fixed number of blocks, one added block
 * would shift every later boundary, and a small note would rewrite every later segment. Fixed address ranges do not
 * work either, because a range may contain no blocks or all of them.
 *
 * <p><b>Idea.</b> Content-defined chunking. A segment ends after a block whose key hashes to a multiple of
 * {@value #MEAN_BLOCKS_PER_SEGMENT}, or when it has {@value #MAX_BLOCKS_PER_SEGMENT} blocks. A change affects
 * boundaries only up to the next block that ends a segment by its hash, so a small note rewrites one or two segments.
 *
 * <p><b>Invariants.</b> Segments are in order of address and none is empty. The boundaries depend only on the blocks,
 * not on the history of changes: equal sets of blocks have equal segments and therefore equal digests.
 *
 * <p><b>Example.</b> Given blocks a to h, of which c and f end a segment by hash, the segments are abc, def, gh.
 * Removing c gives abdef, gh: one segment is new, and gh is unchanged.
 */
public final class ClientBlockList {
    private static final int MEAN_BLOCKS_PER_SEGMENT = 4096;
    private static final int MAX_BLOCKS_PER_SEGMENT = 12288;
    private static final ClientBlockList EMPTY = new ClientBlockList(List.of());

    private final List<ClientBlockSegment> segments;
    private final int size;

    private ClientBlockList(List<ClientBlockSegment> segments) {
        this.segments = segments;
        this.size = segments.stream().mapToInt(ClientBlockSegment::size).sum();
    }

    /** The list without blocks. */
    public static ClientBlockList empty() {
        return EMPTY;
    }

    /** Creates a list of blocks; their prefixes must be canonical and distinct. */
    public static ClientBlockList of(Collection<ClientBlock> blocks) {
        SortedMap<Long, String> sites = new TreeMap<>();
        for (ClientBlock block : blocks) {
            if (sites.put(PrefixKey.of(block.prefix()), block.site()) != null) {
                throw new IllegalArgumentException("more than one block with prefix " + block.prefix());
            }
        }
        SegmentBuilder builder = new SegmentBuilder();
        sites.forEach(builder::add);
        return new ClientBlockList(builder.build());
    }

    /**
     * Creates a list from decoded segments in order; {@code STORE_CORRUPT} when their ranges overlap or are out of
     * order.
     */
    public static Either<Failure, ClientBlockList> ofSegments(List<ClientBlockSegment> segments) {
        long lastKey = -1;
        for (ClientBlockSegment segment : segments) {
            if (segment.firstKey() <= lastKey) {
                return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "block segments", "out of order"));
            }
            long[] segmentEnd = new long[1];
            segment.forEach((prefix, length, site) -> segmentEnd[0] = PrefixKey.of(prefix, length));
            lastKey = segmentEnd[0];
        }
        return Either.right(new ClientBlockList(List.copyOf(segments)));
    }

    /** Number of blocks. */
    public int size() {
        return size;
    }

    /** The segments in order of address. */
    public List<ClientBlockSegment> segments() {
        return segments;
    }

    /** Visits every block in order of first address, shorter prefixes first. */
    public void forEach(ClientBlockVisitor visitor) {
        segments.forEach(segment -> segment.forEach(visitor));
    }

    /** Names of all sites that the blocks refer to. */
    public Set<String> sites() {
        Set<String> names = new TreeSet<>();
        segments.forEach(segment -> names.addAll(segment.sites()));
        return names;
    }

    /** The site of the block with exactly this prefix, if there is one. */
    public Optional<String> siteOf(String prefix) {
        return Optional.ofNullable(sitesOf(List.of(prefix)).get(prefix));
    }

    /**
     * Returns the sites of the blocks with exactly these prefixes, by prefix; prefixes without a block are left out.
     */
    public Map<String, String> sitesOf(Collection<String> prefixes) {
        TreeSet<Long> wantedKeys = new TreeSet<>();
        prefixes.forEach(prefix -> wantedKeys.add(PrefixKey.of(prefix)));
        Map<String, String> found = new HashMap<>();
        for (int i = 0; i < segments.size(); i++) {
            Set<Long> inRange = wantedKeys.subSet(segments.get(i).firstKey(), nextSegmentStart(i));
            if (inRange.isEmpty()) {
                continue;
            }
            segments.get(i).forEach((prefix, length, site) -> {
                long key = PrefixKey.of(prefix, length);
                if (inRange.contains(key)) {
                    found.put(PrefixKey.notation(key), site);
                }
            });
        }
        return found;
    }

    /**
     * Returns a list with some blocks set and others removed. Segments that no change affects are reused.
     *
     * @param set blocks to add or replace
     * @param removed prefixes to remove; those without a block are ignored
     */
    public ClientBlockList updated(Collection<ClientBlock> set, Collection<String> removed) {
        TreeMap<Long, Optional<String>> changes = new TreeMap<>();
        removed.forEach(prefix -> changes.put(PrefixKey.of(prefix), Optional.empty()));
        set.forEach(block -> changes.put(PrefixKey.of(block.prefix()), Optional.of(block.site())));
        SegmentBuilder builder = new SegmentBuilder();
        long from = -1;
        for (int i = 0; i < segments.size(); i++) {
            SortedMap<Long, Optional<String>> changesInRange = changes.subMap(from, nextSegmentStart(i));
            if (changesInRange.isEmpty() && builder.atBoundary()) {
                builder.addUnchanged(segments.get(i));
            } else {
                SortedMap<Long, String> blocks = segments.get(i).sitesByKey();
                applyChanges(blocks, changesInRange);
                blocks.forEach(builder::add);
            }
            from = nextSegmentStart(i);
        }
        if (segments.isEmpty()) {
            SortedMap<Long, String> blocks = new TreeMap<>();
            applyChanges(blocks, changes);
            blocks.forEach(builder::add);
        }
        return new ClientBlockList(builder.build());
    }

    /**
     * Returns the blocks of the segments that are not also in the other list. Used to compare lists without decoding
     * the segments that both have.
     */
    public ClientBlockList withoutSegmentsOf(ClientBlockList other) {
        Set<ClientBlockSegment> shared = new HashSet<>(other.segments);
        return new ClientBlockList(
                segments.stream().filter(s -> !shared.contains(s)).toList());
    }

    /**
     * Returns all blocks as objects by prefix. Takes some hundred bytes per block, so it is meant for small lists and
     * tests.
     */
    public SortedMap<String, Entity> asTable() {
        SortedMap<String, Entity> table = new TreeMap<>();
        forEach((prefix, length, site) -> {
            String notation = PrefixKey.notation(PrefixKey.of(prefix, length));
            table.put(notation, new ClientBlock(notation, site));
        });
        return Collections.unmodifiableSortedMap(table);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClientBlockList that && segments.equals(that.segments);
    }

    @Override
    public int hashCode() {
        return segments.hashCode();
    }

    @Override
    public String toString() {
        return "ClientBlockList[blocks=" + size + ", segments=" + segments.size() + "]";
    }

    private long nextSegmentStart(int segment) {
        return segment + 1 < segments.size() ? segments.get(segment + 1).firstKey() : Long.MAX_VALUE;
    }

    private static void applyChanges(SortedMap<Long, String> blocks, SortedMap<Long, Optional<String>> changes) {
        changes.forEach((key, site) -> {
            if (site.isPresent()) {
                blocks.put(key, site.get());
            } else {
                blocks.remove(key);
            }
        });
    }

    private static final class SegmentBuilder {
        private final List<ClientBlockSegment> finished = new ArrayList<>();
        private final TreeMap<Long, String> pending = new TreeMap<>();

        private void add(long key, String site) {
            pending.put(key, site);
            if (PrefixKey.hash(key) % MEAN_BLOCKS_PER_SEGMENT == 0 || pending.size() == MAX_BLOCKS_PER_SEGMENT) {
                endSegment();
            }
        }

        private boolean atBoundary() {
            return pending.isEmpty();
        }

        private void addUnchanged(ClientBlockSegment segment) {
            finished.add(segment);
        }

        private void endSegment() {
            finished.add(ClientBlockSegment.encode(pending));
            pending.clear();
        }

        private List<ClientBlockSegment> build() {
            if (!pending.isEmpty()) {
                endSegment();
            }
            return List.copyOf(finished);
        }
    }
}
