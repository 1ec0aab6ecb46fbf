package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The slots that a host holds. */
final class HeldSlotTable {
    private final Map<String, Entry> byRequest = new LinkedHashMap<>();
    private final Map<SlotToken, String> requests = new HashMap<>();

    private HeldSlotTable() {}

    static HeldSlotTable create() {
        return new HeldSlotTable();
    }

    boolean holds(SlotToken token) {
        return requests.containsKey(token);
    }

    boolean holds(String requestId) {
        return byRequest.containsKey(requestId);
    }

    List<HeldSlots.Held> report(long nowNanos) {
        List<HeldSlots.Held> report = new ArrayList<>();
        byRequest.forEach((requestId, entry) -> report.add(new HeldSlots.Held(
                entry.token,
                requestId,
                entry.requestClass,
                entry.upstream,
                Math.max(0, entry.deadlineNanos - nowNanos))));
        return report;
    }

    void add(PendingRequest pendingRequest, SlotToken token, String upstream) {
        SlotRequest request = pendingRequest.request();
        byRequest.put(
                request.requestId(),
                new Entry(token, request.requestClass(), upstream, pendingRequest.deadlineNanos()));
        requests.put(token, request.requestId());
    }

    void extend(String requestId, long deadlineNanos) {
        byRequest.computeIfPresent(requestId, (id, e) -> new Entry(e.token, e.requestClass, e.upstream, deadlineNanos));
    }

    Optional<Entry> remove(String requestId) {
        Entry entry = byRequest.remove(requestId);
        if (entry == null) {
            return Optional.empty();
        }
        requests.remove(entry.token);
        return Optional.of(entry);
    }

    /** A slot in use. */
    record Entry(SlotToken token, String requestClass, String upstream, long deadlineNanos) {}
}
