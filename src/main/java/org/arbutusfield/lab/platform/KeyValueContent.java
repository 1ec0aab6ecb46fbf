package org.arbutusfield.lab.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.arbutusfield.http.Body;
import org.arbutusfield.timer.TimerService;

/** Keys, revisions, leases and history of the store stand-in. Thread-safe by one lock. */
public final class KeyValueContent {
    private final TimerService timer;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, LeaseState> leases = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long revision = 1;
    private long oldest;
    private long nextLease = 1;

    private KeyValueContent(TimerService timer) {
        this.timer = timer;
    }

    /** An empty store. */
    public static KeyValueContent create(TimerService timer) {
        return new KeyValueContent(timer);
    }

    /**
     * A stored item.
     *
     * @param key its key
     * @param value its content
     * @param revision revision of its last change
     * @param created revision of its creation
     * @param lease the lease that it lives by; 0 for none
     */
    public record Item(String key, Body value, long revision, long created, long lease) {}

    /**
     * A change.
     *
     * @param key the key
     * @param revision its revision
     * @param item the item as written; none for a deletion
     */
    public record Event(String key, long revision, Optional<Item> item) {}

    /** The revision of the last change. */
    public synchronized long revision() {
        return revision;
    }

    /** Items whose key begins with the prefix and comes after the key, at most so many. */
    public synchronized List<Item> list(String prefix, String after, int most) {
        expire();
        return items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .limit(most)
                .toList();
    }

    /** Changes below the prefix after the revision; none when this history was dropped. */
    public synchronized Optional<List<Event>> changes(String prefix, long after) {
        expire();
        if (after < oldest) {
            return Optional.empty();
        }
        return Optional.of(history.stream()
                .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                .toList());
    }

    /** Calls the subscriber once, at the next change. */
    public synchronized void onChange(Runnable subscriber) {
        waiting.add(subscriber);
    }

    /** Writes a value; false when there is no such lease. */
    public boolean put(String key, byte[] value, long lease) {
        synchronized (this) {
            expire();
            if (lease != 0 && !leases.containsKey(lease)) {
                return false;
            }
            revision++;
            Item before = items.get(key);
            Item item = new Item(
                    key, Body.of(value.clone()), revision, before == null ? revision : before.created(), lease);
            items.put(key, item);
            history.add(new Event(key, revision, Optional.of(item)));
        }
        wake();
        return true;
    }

    /** Removes a key, if it is there. */
    public void remove(String key) {
        synchronized (this) {
            if (items.remove(key) == null) {
                return;
            }
            revision++;
            history.add(new Event(key, revision, Optional.empty()));
        }
        wake();
    }

    /** Forgets all history so far. */
    public synchronized void compact() {
        history.clear();
        oldest = revision;
    }

    /** Takes a lease. */
    public synchronized long grant(Duration length) {
        long lease = nextLease++;
        leases.put(lease, new LeaseState(length, timer.nowNanos() + length.toNanos()));
        return lease;
    }

    /** Renews a lease; false when it has ended. */
    public synchronized boolean renew(long lease) {
        expire();
        LeaseState state = leases.get(lease);
        if (state == null) {
            return false;
        }
        leases.put(
                lease,
                new LeaseState(state.length(), timer.nowNanos() + state.length().toNanos()));
        return true;
    }

    /** Ends a lease and removes its keys; false when it has ended before. */
    public boolean end(long lease) {
        List<String> keys;
        synchronized (this) {
            if (leases.remove(lease) == null) {
                return false;
            }
            keys = items.values().stream()
                    .filter(item -> item.lease() == lease)
                    .map(Item::key)
                    .toList();
        }
        keys.forEach(this::remove);
        return true;
    }

    private void expire() {
        long now = timer.nowNanos();
        List<Long> over = leases.entrySet().stream()
                .filter(each -> each.getValue().endNanos() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        over.forEach(this::end);
    }

    private void wake() {
        List<Runnable> subscribers;
        synchronized (this) {
            subscribers = List.copyOf(waiting);
            waiting.clear();
        }
        subscribers.forEach(Runnable::run);
    }

    /**
     * A lease.
     *
     * @param length what a renewal gives
     * @param endNanos monotonic time at which it ends
     */
    private record LeaseState(Duration length, long endNanos) {}
}
