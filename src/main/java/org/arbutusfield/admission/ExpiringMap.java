package org.arbutusfield.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A map that keeps each entry for a fixed time after it was put; expired entries are removed by the next put. */
final class ExpiringMap<K, V> {
    private final long retentionNanos;
    private final Map<K, Entry<V>> entries = new LinkedHashMap<>();

    private ExpiringMap(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    static <K, V> ExpiringMap<K, V> retaining(long nanos) {
        return new ExpiringMap<>(nanos);
    }

    void put(K key, V value, long nowNanos) {
        entries.remove(key);
        entries.put(key, new Entry<>(value, nowNanos));
        Iterator<Entry<V>> oldest = entries.values().iterator();
        while (oldest.hasNext() && nowNanos - oldest.next().putNanos > retentionNanos) {
            oldest.remove();
        }
    }

    Optional<V> find(K key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::value);
    }

    boolean contains(K key) {
        return entries.containsKey(key);
    }

    private record Entry<V>(V value, long putNanos) {}
}
