package org.arbutusfield.misc;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps that forget the entry that was put first when there are too many. */
public final class BoundedMap {
    private BoundedMap() {}

    /**
     * Creates a map.
     *
     * @param maxEntries number of entries at most
     */
    public static <K, V> Map<K, V> of(int maxEntries) {
        return new Eviction<>(maxEntries);
    }

    private static final class Eviction<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int maxEntries;

        private Eviction(int maxEntries) {
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maxEntries;
        }
    }
}
