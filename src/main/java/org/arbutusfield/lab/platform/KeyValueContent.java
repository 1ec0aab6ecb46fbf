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
    private final List<Runnable> listeners = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;
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
     * @param createdRevision revision of its creation
     * @param lease the lease that it lives by; 0 for none
     */
    public record Item(String key, Body value, long revision, long createdRevision, long lease) {}

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
    public synchronized List<Item> list(String prefix, String after, int limit) {
        expire();
        return items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .limit(limit)
                .toList();
    }

    /** Changes below the prefix after the revision; none when this history was dropped. */
    public synchronized Optional<List<Event>> changes(String prefix, long after) {
        expire();
        if (after < compactedRevision) {
            return Optional.empty();
        }
        return Optional.of(history.stream()
                .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                .toList());
    }

    /** Calls the subscriber once, at the next change. */
    public synchronized void onNextChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Writes a value; false when there is no such lease. */
    public boolean put(String key, byte[] value, long lease) {
        synchronized (this) {
            expire();
            if (lease != 0 && !leases.containsKey(lease)) {
                return false;
            }
            revision++;
            Item previous = items.get(key);
            Item item = new Item(
                    key,
                    Body.of(value.clone()),
                    revision,
                    previous == null ? revision : previous.createdRevision(),
                    lease);
            items.put(key, item);
            history.add(new Event(key, revision, Optional.of(item)));
        }
        notifyListeners();
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
        notifyListeners();
    }

    /** Forgets all history so far. */
    public synchronized void compact() {
        history.clear();
        compactedRevision = revision;
    }

    /** Takes a lease. */
    public synchronized long grantLease(Duration duration) {
        long lease = nextLease++;
        leases.put(lease, new LeaseState(duration, timer.nowNanos() + duration.toNanos()));
        return lease;
    }

    /** Renews a lease; false when it has ended. */
    public synchronized boolean renewLease(long lease) {
        expire();
        LeaseState state = leases.get(lease);
        if (state == null) {
            return false;
        }
        leases.put(
                lease,
                new LeaseState(
                        state.duration(), timer.nowNanos() + state.duration().toNanos()));
        return true;
    }

    /** Ends a lease and removes its keys; false when it has ended before. */
    public boolean endLease(long lease) {
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
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiryNanos() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::endLease);
    }

    private void notifyListeners() {
        List<Runnable> notified;
        synchronized (this) {
            notified = List.copyOf(listeners);
            listeners.clear();
        }
        notified.forEach(Runnable::run);
    }

    /**
     * A lease.
     *
     * @param duration what a renewal gives
     * @param expiryNanos monotonic time at which it ends
     */
    private record LeaseState(Duration duration, long expiryNanos) {}
}
