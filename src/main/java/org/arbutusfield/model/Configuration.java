package org.arbutusfield.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The complete configuration at one revision. Immutable; each revision is a new object, which replaces the previous one
 * atomically.
 *
 * <p>Revisions are numbered from 1 without gaps; revision 0 is the empty configuration before the first release note.
 */
public final class Configuration {
    private static final Configuration EMPTY =
            new Configuration(0, "", new EnumMap<>(Kind.class), ClientBlockList.empty());

    private final long revision;
    private final String noteId;
    private final Map<Kind, SortedMap<String, Entity>> tables;
    private final ClientBlockList blocks;
    private final Map<String, List<Upstream>> upstreamsByService;

    private Configuration(
            long revision, String noteId, Map<Kind, SortedMap<String, Entity>> tables, ClientBlockList blocks) {
        this.revision = revision;
        this.noteId = noteId;
        this.tables = tables;
        this.blocks = blocks;
        this.upstreamsByService = groupUpstreams(tables);
    }

    /** The configuration before the first release note: revision 0, no items. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration of the given items.
     *
     * @param revision the revision, 1 or more
     * @param noteId id of the release note that produced it
     * @param items all items; two of one kind with the same key are not allowed
     */
    public static Configuration of(long revision, String noteId, Collection<? extends Entity> items) {
        List<Entity> others = new ArrayList<>();
        List<ClientBlock> blocks = new ArrayList<>();
        for (Entity item : items) {
            if (item instanceof ClientBlock block) {
                blocks.add(block);
            } else {
                others.add(item);
            }
        }
        return of(revision, noteId, others, ClientBlockList.of(blocks));
    }

    /**
     * Creates a configuration whose client blocks are already in compact form.
     *
     * @param revision the revision, 1 or more
     * @param noteId id of the release note that produced it
     * @param items all items except client blocks; two of one kind with the same key are not allowed
     * @param blocks the client blocks
     */
    public static Configuration of(
            long revision, String noteId, Collection<? extends Entity> items, ClientBlockList blocks) {
        Map<Kind, SortedMap<String, Entity>> tables = new EnumMap<>(Kind.class);
        for (Entity item : items) {
            Entity earlier =
                    tables.computeIfAbsent(item.kind(), kind -> new TreeMap<>()).put(item.key(), item);
            if (earlier != null || item.kind() == Kind.CLIENT_BLOCK) {
                throw new IllegalArgumentException("duplicate or misplaced item " + item.kind() + " " + item.key());
            }
        }
        tables.replaceAll((kind, table) -> Collections.unmodifiableSortedMap(table));
        return new Configuration(revision, noteId, tables, blocks);
    }

    /** The revision number; 0 for the empty configuration. */
    public long revision() {
        return revision;
    }

    /** Id of the release note that produced this revision; empty for the empty configuration. */
    public String noteId() {
        return noteId;
    }

    /** The client blocks in compact form. */
    public ClientBlockList blocks() {
        return blocks;
    }

    /**
     * Visits every client block in order of first address, shorter prefixes first, without creating an object per
     * block.
     */
    public void forEachBlock(ClientBlockVisitor visitor) {
        blocks.forEach(visitor);
    }

    /**
     * All items of a kind, sorted by key. For client blocks each call builds a new table of some hundred bytes per
     * block, so use {@link #blocks()} where there may be many.
     */
    public SortedMap<String, Entity> table(Kind kind) {
        if (kind == Kind.CLIENT_BLOCK) {
            return blocks.asTable();
        }
        return tables.getOrDefault(kind, Collections.emptySortedMap());
    }

    /** The item with the key, if there is one. */
    public Optional<Entity> find(Kind kind, String key) {
        if (kind == Kind.CLIENT_BLOCK) {
            return blocks.siteOf(key).map(site -> new ClientBlock(key, site));
        }
        return Optional.ofNullable(table(kind).get(key));
    }

    /** The items of a kind, sorted by key. */
    public <T extends Entity> List<T> items(Class<T> type) {
        return Stream.of(Kind.values())
                .filter(kind -> kind.type() == type)
                .flatMap(kind -> table(kind).values().stream())
                .map(type::cast)
                .toList();
    }

    /** The named service, if there is one. */
    public Optional<Service> service(String name) {
        return find(Kind.SERVICE, name).map(Service.class::cast);
    }

    /** The named failure domain, if there is one. */
    public Optional<FailureDomain> failureDomain(String name) {
        return find(Kind.FAILURE_DOMAIN, name).map(FailureDomain.class::cast);
    }

    /** Name of the region of an upstream, if its failure domain exists. */
    public Optional<String> regionOf(Upstream upstream) {
        return failureDomain(upstream.failureDomain()).map(FailureDomain::region);
    }

    /** The upstreams of a service in all regions, sorted by name. */
    public List<Upstream> upstreams(String service) {
        return upstreamsByService.getOrDefault(service, List.of());
    }

    /** True when the upstream itself, its failure domain or its region is drained. */
    public boolean drained(Upstream upstream) {
        return drained(Drain.Target.UPSTREAM, upstream.name())
                || drained(Drain.Target.FAILURE_DOMAIN, upstream.failureDomain())
                || regionOf(upstream)
                        .filter(region -> drained(Drain.Target.REGION, region))
                        .isPresent();
    }

    /** True when there is a drain for exactly this target. */
    public boolean drained(Drain.Target target, String name) {
        return find(Kind.DRAIN, new Drain(target, name).key()).isPresent();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that
                && revision == that.revision
                && noteId.equals(that.noteId)
                && tables.equals(that.tables)
                && blocks.equals(that.blocks);
    }

    @Override
    public int hashCode() {
        return Objects.hash(revision, noteId);
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("Configuration[revision=" + revision + ", note=" + noteId);
        tables.forEach((kind, table) ->
                out.append(", ").append(kind.field()).append('=').append(table.size()));
        return out.append(", blocks=").append(blocks.size()).append(']').toString();
    }

    private static Map<String, List<Upstream>> groupUpstreams(Map<Kind, SortedMap<String, Entity>> tables) {
        Map<String, List<Upstream>> groups = new TreeMap<>();
        for (Entity item :
                tables.getOrDefault(Kind.UPSTREAM, Collections.emptySortedMap()).values()) {
            Upstream upstream = (Upstream) item;
            groups.computeIfAbsent(upstream.service(), name -> new ArrayList<>())
                    .add(upstream);
        }
        groups.replaceAll((name, list) -> List.copyOf(list));
        return groups;
    }
}
