package org.arbutusfield.note;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusfield.model.ClientBlockList;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/**
 * The differences between two configurations.
 *
 * @param added items that only the later configuration has
 * @param changed items that both have, with different content
 * @param withdrawn items that only the earlier configuration has
 */
public record ConfigurationDiff(List<EntityKey> added, List<EntityKey> changed, List<EntityKey> withdrawn) {

    /** Copies the lists, to keep the record immutable. */
    public ConfigurationDiff {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        withdrawn = List.copyOf(withdrawn);
    }

    /** Compares two configurations. Client block segments that both contain are skipped. */
    public static ConfigurationDiff between(Configuration earlier, Configuration later) {
        List<EntityKey> added = new ArrayList<>();
        List<EntityKey> changed = new ArrayList<>();
        List<EntityKey> withdrawn = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            Map<String, Entity> before = items(kind, earlier, later.blocks());
            Map<String, Entity> after = items(kind, later, earlier.blocks());
            for (Map.Entry<String, Entity> item : after.entrySet()) {
                Entity old = before.get(item.getKey());
                if (old == null) {
                    added.add(new EntityKey(kind, item.getKey()));
                } else if (!old.equals(item.getValue())) {
                    changed.add(new EntityKey(kind, item.getKey()));
                }
            }
            for (String key : before.keySet()) {
                if (!after.containsKey(key)) {
                    withdrawn.add(new EntityKey(kind, key));
                }
            }
        }
        return new ConfigurationDiff(added, changed, withdrawn);
    }

    /** True when the configurations have the same items. */
    public boolean isEmpty() {
        return added.isEmpty() && changed.isEmpty() && withdrawn.isEmpty();
    }

    private static Map<String, Entity> items(Kind kind, Configuration state, ClientBlockList others) {
        return kind == Kind.CLIENT_BLOCK
                ? state.blocks().withoutSegmentsOf(others).asTable()
                : state.table(kind);
    }
}
