package org.arbutusfield.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of one version of the operator's configuration, and the digests of their keys. Immutable.
 *
 * <p>A look-up computes one digest and searches one hash table by it, so that its time tells neither how much of a key
 * is right nor how many teams there are.
 */
public final class TeamDirectory {
    private static final TeamDirectory EMPTY = new TeamDirectory(Map.of(), Map.of(), List.of());

    private final Map<String, Team> byName;
    private final Map<KeyDigest, Team> byKey;
    private final List<Duplicate> duplicates;

    private TeamDirectory(Map<String, Team> byName, Map<KeyDigest, Team> byKey, List<Duplicate> duplicates) {
        this.byName = byName;
        this.byKey = byKey;
        this.duplicates = duplicates;
    }

    /**
     * A team with the digests of its keys.
     *
     * @param team the team
     * @param keys digests of its keys by {@link KeyDigester#ofProcess}
     */
    public record Entry(Team team, List<KeyDigest> keys) {
        /** Makes the record immutable by copying the keys. */
        public Entry {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Something that the configuration lists twice, of which only the first counts.
     *
     * @param used name of the team that is listed first
     * @param ignored name of the team whose entry or key is ignored; equal to the first if a team is listed twice
     */
    public record Duplicate(String used, String ignored) {}

    /** Returns the directory of a configuration without teams. */
    public static TeamDirectory empty() {
        return EMPTY;
    }

    /**
     * Creates a directory. Of two teams with one name, and of two teams with one key, the first counts.
     *
     * @param entries the teams in the order of the configuration
     */
    public static TeamDirectory of(List<Entry> entries) {
        Map<String, Team> byName = new LinkedHashMap<>();
        Map<KeyDigest, Team> byKey = new HashMap<>();
        List<Duplicate> duplicates = new ArrayList<>();
        for (Entry entry : entries) {
            String name = entry.team().name();
            if (byName.putIfAbsent(name, entry.team()) != null) {
                duplicates.add(new Duplicate(name, name));
                continue;
            }
            for (KeyDigest key : entry.keys()) {
                Team first = byKey.putIfAbsent(key, entry.team());
                if (first != null && !first.name().equals(name)) {
                    duplicates.add(new Duplicate(first.name(), name));
                }
            }
        }
        return new TeamDirectory(Collections.unmodifiableMap(byName), Map.copyOf(byKey), List.copyOf(duplicates));
    }

    /** Returns the team that a key identifies, if there is one. */
    public Optional<Team> byKey(byte[] key) {
        return byKey(KeyDigester.ofProcess().digest(key));
    }

    /** Returns the team that the key with the digest identifies, if there is one. */
    public Optional<Team> byKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the team with the name, if there is one. */
    public Optional<Team> byName(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns all teams in the order of the configuration. */
    public Collection<Team> teams() {
        return byName.values();
    }

    /** Returns true if the configuration has no teams, so that requests need no key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns what the configuration lists twice. */
    public List<Duplicate> duplicates() {
        return duplicates;
    }

    @Override
    public String toString() {
        return "TeamDirectory" + byName.keySet();
    }
}
