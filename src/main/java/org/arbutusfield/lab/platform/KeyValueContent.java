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

/** Items, leases and change history of the store stand-in. Thread-safe; guarded by one lock. */
public final class KeyValueContent {
    private final TimerService timer;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, LeaseState> leases = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long era = 1;
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
     * @param createdRevision revision in which it was created
     * @param lease id of the lease that it expires with; 0 for none
     */
    public record Item(String key, Body value, long revision, long createdRevision, long lease) {}

    /**
     * A change of an item.
     *
     * @param key key of the item
     * @param revision revision of the change
     * @param item the item as written; empty for a deletion
     */
    public record Event(String key, long revision, Optional<Item> item) {}

    /**
     * Some items and the revision of the store that has them.
     *
     * @param items the items
     * @param revision revision of the last change
     */
    public record Page(List<Item> items, long revision) {}

    /**
     * Some changes and the revision up to which they are complete.
     *
     * @param events the changes
     * @param revision revision of the last change
     */
    public record Changes(List<Event> events, long revision) {}

    /** A copy of the whole content, to which {@link #rollBack} returns. */
    public static final class Copy {
        private final Map<String, Item> items;
        private final List<Event> history;
        private final Map<Long, LeaseState> leases;
        private final long revision;
        private final long compactedRevision;
        private final long nextLease;

        private Copy(KeyValueContent content) {
            items = new TreeMap<>(content.items);
            history = List.copyOf(content.history);
            leases = Map.copyOf(content.leases);
            revision = content.revision;
            compactedRevision = content.compactedRevision;
            nextLease = content.nextLease;
        }
    }

    /** The revision of the last change. */
    public synchronized long revision() {
        return revision;
    }

    /** The number of the era, which rises with each {@link #rollBack}. */
    public synchronized long era() {
        return era;
    }

    /** Copies the whole content. */
    public synchronized Copy copy() {
        expire();
        return new Copy(this);
    }

    /**
     * Returns to a copy and begins a new era. Later changes are lost, and their revisions and lease ids are given out
     * again. Leases of the copy run for their whole duration from now.
     */
    public void rollBack(Copy copy) {
        synchronized (this) {
            era++;
            items.clear();
            items.putAll(copy.items);
            history.clear();
            history.addAll(copy.history);
            revision = copy.revision;
            compactedRevision = copy.compactedRevision;
            nextLease = copy.nextLease;
            leases.clear();
            long now = timer.nowNanos();
            copy.leases.forEach((id, lease) -> leases.put(
                    id, new LeaseState(lease.duration(), now + lease.duration().toNanos())));
        }
        notifyListeners();
    }

    /** Returns the first items, up to the limit, whose key starts with the prefix and sorts after the given key. */
    public List<Item> list(String prefix, String after, int limit) {
        return page(prefix, after, limit).items();
    }

    /** Returns the same as {@link #list}, with the revision, read in one step. */
    public synchronized Page page(String prefix, String after, int limit) {
        expire();
        List<Item> found = items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .limit(limit)
                .toList();
        return new Page(found, revision);
    }

    /**
     * Returns the changes under the prefix after the revision, read in one step; empty if the store does not have that
     * revision or dropped that part of the history.
     */
    public synchronized Optional<Changes> changes(String prefix, long after) {
        expire();
        if (after < compactedRevision || after > revision) {
            return Optional.empty();
        }
        List<Event> events = history.stream()
                .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                .toList();
        return Optional.of(new Changes(events, revision));
    }

    /** Calls the listener once, at the next change. */
    public synchronized void onNextChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Writes a value; false if the lease does not exist. */
    public boolean put(String key, byte[] value, long lease) {
        return write(key, value, lease).isPresent();
    }

    /** Writes a value and returns the revision of the change; empty if the lease does not exist. */
    public Optional<Long> write(String key, byte[] value, long lease) {
        long written;
        synchronized (this) {
            expire();
            if (lease != 0 && !leases.containsKey(lease)) {
                return Optional.empty();
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
            written = revision;
        }
        notifyListeners();
        return Optional.of(written);
    }

    /** Returns the revision of an item's last change; 0 if there is no such item. */
    public synchronized long revisionOf(String key) {
        expire();
        return items.containsKey(key) ? items.get(key).revision() : 0;
    }

    /** Removes a key if it exists. */
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

    /** Drops the history of changes. */
    public synchronized void compact() {
        history.clear();
        compactedRevision = revision;
    }

    /** Grants a lease and returns its id. */
    public synchronized long grantLease(Duration duration) {
        long lease = nextLease++;
        leases.put(lease, new LeaseState(duration, timer.nowNanos() + duration.toNanos()));
        return lease;
    }

    /** Renews a lease; false if it has ended. */
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

    /** Ends a lease and removes its keys; false if it had already ended. */
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
     * @param duration time that it lasts after each renewal
     * @param expiryNanos monotonic time at which it expires
     */
    private record LeaseState(Duration duration, long expiryNanos) {}
}
