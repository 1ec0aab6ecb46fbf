package org.arbutusfield.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts one broker's grants independently, from the messages that it received and sent, and records violated
 * invariants.
 */
final class BrokerInvariantChecker {
    private final int slots;
    private final List<String> violations;
    private final Map<SlotToken, SlotGrant> active = new HashMap<>();
    private final Map<SlotToken, Integer> uses = new HashMap<>();
    private final Map<SlotToken, Long> expiries = new HashMap<>();
    private final Map<String, SlotToken> granted = new HashMap<>();
    private final Set<String> drained = new HashSet<>();
    private final Set<String> refused = new HashSet<>();

    BrokerInvariantChecker(int slots, List<String> violations) {
        this.slots = slots;
        this.violations = violations;
    }

    void configured(List<UpstreamSlots> servers) {
        drained.clear();
        servers.stream().filter(UpstreamSlots::drained).forEach(server -> drained.add(server.upstream()));
    }

    void received(BrokerMessage message, long now) {
        if (message instanceof SlotRelease release) {
            end(release.token());
        } else if (message instanceof SlotCancel cancel && granted.containsKey(cancel.requestId())) {
            end(granted.get(cancel.requestId()));
        } else if (message instanceof SlotTakeover takeover) {
            SlotToken before = takeover.release().token();
            if (granted.containsKey(takeover.requestId())) {
                end(granted.get(takeover.requestId()));
            }
            SlotGrant grant = end(before);
            if (grant != null && expiries.get(before.first()) > now) {
                active.put(before.first(), grant);
                uses.put(before.first(), before.use() + 1);
                expiries.put(before.first(), now + takeover.remainingNanos());
            }
        }
    }

    private SlotGrant end(SlotToken token) {
        return uses.getOrDefault(token.first(), 0) > token.use() ? null : active.remove(token.first());
    }

    void decided(SlotDecision decision, long now) {
        String id = decision.requestId();
        if (decision instanceof SlotRefusal) {
            refused.add(id);
        }
        if (decision instanceof SlotGrant grant && granted.putIfAbsent(id, grant.token()) == null) {
            active.put(grant.token(), grant);
            expiries.put(grant.token(), now + grant.validNanos());
            active.keySet().removeIf(token -> expiries.get(token) <= now);
            check(grant, now);
        }
        if (refused.contains(id) && granted.containsKey(id)) {
            violations.add(id + " both granted and refused");
        }
    }

    private void check(SlotGrant grant, long now) {
        long count = active.values().stream()
                .filter(g -> g.upstream().equals(grant.upstream()))
                .count();
        if (count > slots) {
            violations.add(count + " active grants of " + grant.upstream() + " at " + now);
        }
        if (drained.contains(grant.upstream())) {
            violations.add("grant to drained " + grant.upstream());
        }
    }
}
