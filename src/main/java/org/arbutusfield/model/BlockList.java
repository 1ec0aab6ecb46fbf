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
 * All client blocks of one state, as a sorted list of compact segments.
 *
 * <p><b>Problem.</b> There may be 1.6 million blocks. As objects they would take some hundred bytes each; as one value
 * they would not fit the store; and cut at fixed positions, one added block would shift every later cut, so that a
 * small note rewrote everything after it. Fixed address ranges do not work either: a range may hold nothing or
 * everything.
 *
 * <p><b>Idea.</b> The cuts are chosen by content. A segment ends after a block whose key hashes to a multiple of
 * {@value #MEAN_SEGMENT_BLOCKS}, or when it has {@value #MAX_SEGMENT_BLOCKS} blocks. A change moves the cuts only up to
 * the next block that ends a segment by its hash, so a small note rewrites one or two segments.
 *
 * <p><b>Invariants.</b> Segments are in order of address and none is empty. The cuts follow from the blocks alone, not
 * from the history of changes: equal sets of blocks have equal segments and so equal digests.
 *
 * <p><b>Example.</b> With blocks a to h of which c and f end a segment by hash, the segments are abc, def, gh. Removing
 * c gives abdef, gh: one segment is new, gh is kept as it is.
 */
public final class BlockList {
    private static final int MEAN_SEGMENT_BLOCKS = 4096;
    private static final int MAX_SEGMENT_BLOCKS = 12288;
    private static final BlockList EMPTY = new BlockList(List.of());

    private final List<BlockSegment> segments;
    private final int size;

    private BlockList(List<BlockSegment> segments) {
        this.segments = segments;
        this.size = segments.stream().mapToInt(BlockSegment::size).sum();
    }

    /** No blocks. */
    public static BlockList empty() {
        return EMPTY;
    }

    /** The blocks of the collection; their prefixes are canonical and distinct. */
    public static BlockList of(Collection<ClientBlock> blocks) {
        SortedMap<Long, String> sites = new TreeMap<>();
        for (ClientBlock block : blocks) {
            if (sites.put(BlockKey.of(block.prefix()), block.site()) != null) {
                throw new IllegalArgumentException("two blocks with prefix " + block.prefix());
            }
        }
        Cutter cutter = new Cutter();
        sites.forEach(cutter::add);
        return new BlockList(cutter.finish());
    }

    /** The blocks of decoded segments in order; {@code STORE_CORRUPT} when their ranges overlap. */
    public static Either<Failure, BlockList> ofSegments(List<BlockSegment> segments) {
        long last = -1;
        for (BlockSegment segment : segments) {
            if (segment.firstKey() <= last) {
                return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "block segments", "out of order"));
            }
            long[] end = new long[1];
            segment.forEach((prefix, length, site) -> end[0] = BlockKey.of(prefix, length));
            last = end[0];
        }
        return Either.right(new BlockList(List.copyOf(segments)));
    }

    /** Number of blocks. */
    public int size() {
        return size;
    }

    /** The segments in order of address. */
    public List<BlockSegment> segments() {
        return segments;
    }

    /** Visits every block in order of address, wider blocks first. */
    public void forEach(BlockVisitor visitor) {
        segments.forEach(segment -> segment.forEach(visitor));
    }

    /** Names of all sites that blocks refer to. */
    public Set<String> sites() {
        Set<String> names = new TreeSet<>();
        segments.forEach(segment -> names.addAll(segment.sites()));
        return names;
    }

    /** The site of a block by its exact prefix, if there is such a block. */
    public Optional<String> siteOf(String prefix) {
        return Optional.ofNullable(sitesOf(List.of(prefix)).get(prefix));
    }

    /** The sites of those of the prefixes that are blocks, by prefix. */
    public Map<String, String> sitesOf(Collection<String> prefixes) {
        TreeSet<Long> wanted = new TreeSet<>();
        prefixes.forEach(prefix -> wanted.add(BlockKey.of(prefix)));
        Map<String, String> found = new HashMap<>();
        for (int i = 0; i < segments.size(); i++) {
            Set<Long> inRange = wanted.subSet(segments.get(i).firstKey(), startAfter(i));
            if (inRange.isEmpty()) {
                continue;
            }
            segments.get(i).forEach((prefix, length, site) -> {
                long key = BlockKey.of(prefix, length);
                if (inRange.contains(key)) {
                    found.put(BlockKey.notation(key), site);
                }
            });
        }
        return found;
    }

    /**
     * The list after some blocks were set and others removed. Segments that no change touches are kept.
     *
     * @param set blocks to add or replace
     * @param removed prefixes to remove; absent ones are passed over
     */
    public BlockList updated(Collection<ClientBlock> set, Collection<String> removed) {
        TreeMap<Long, Optional<String>> changes = new TreeMap<>();
        removed.forEach(prefix -> changes.put(BlockKey.of(prefix), Optional.empty()));
        set.forEach(block -> changes.put(BlockKey.of(block.prefix()), Optional.of(block.site())));
        Cutter cutter = new Cutter();
        long from = -1;
        for (int i = 0; i < segments.size(); i++) {
            SortedMap<Long, Optional<String>> here = changes.subMap(from, startAfter(i));
            if (here.isEmpty() && cutter.atCut()) {
                cutter.keep(segments.get(i));
            } else {
                SortedMap<Long, String> blocks = segments.get(i).decoded();
                change(blocks, here);
                blocks.forEach(cutter::add);
            }
            from = startAfter(i);
        }
        if (segments.isEmpty()) {
            SortedMap<Long, String> blocks = new TreeMap<>();
            change(blocks, changes);
            blocks.forEach(cutter::add);
        }
        return new BlockList(cutter.finish());
    }

    /** The blocks of those segments that the other list does not have; used to compare two lists. */
    public BlockList without(BlockList other) {
        Set<BlockSegment> shared = new HashSet<>(other.segments);
        return new BlockList(segments.stream().filter(s -> !shared.contains(s)).toList());
    }

    /** All blocks as objects by prefix. Costs some hundred bytes a block: for small states and tests. */
    public SortedMap<String, Entity> asTable() {
        SortedMap<String, Entity> table = new TreeMap<>();
        forEach((prefix, length, site) -> {
            String notation = BlockKey.notation(BlockKey.of(prefix, length));
            table.put(notation, new ClientBlock(notation, site));
        });
        return Collections.unmodifiableSortedMap(table);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BlockList that && segments.equals(that.segments);
    }

    @Override
    public int hashCode() {
        return segments.hashCode();
    }

    @Override
    public String toString() {
        return "BlockList[blocks=" + size + ", segments=" + segments.size() + "]";
    }

    private long startAfter(int segment) {
        return segment + 1 < segments.size() ? segments.get(segment + 1).firstKey() : Long.MAX_VALUE;
    }

    private static void change(SortedMap<Long, String> blocks, SortedMap<Long, Optional<String>> changes) {
        changes.forEach((key, site) -> {
            if (site.isPresent()) {
                blocks.put(key, site.get());
            } else {
                blocks.remove(key);
            }
        });
    }

    private static final class Cutter {
        private final List<BlockSegment> done = new ArrayList<>();
        private final TreeMap<Long, String> pending = new TreeMap<>();

        private void add(long key, String site) {
            pending.put(key, site);
            if (BlockKey.hash(key) % MEAN_SEGMENT_BLOCKS == 0 || pending.size() == MAX_SEGMENT_BLOCKS) {
                cut();
            }
        }

        private boolean atCut() {
            return pending.isEmpty();
        }

        private void keep(BlockSegment segment) {
            done.add(segment);
        }

        private void cut() {
            done.add(BlockSegment.encode(pending));
            pending.clear();
        }

        private List<BlockSegment> finish() {
            if (!pending.isEmpty()) {
                cut();
            }
            return List.copyOf(done);
        }
    }
}
