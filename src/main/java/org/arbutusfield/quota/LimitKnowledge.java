package org.arbutusfield.quota;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.BoundedMap;
import org.arbutusfield.state.UpstreamStart;

/**
 * What a host knows of the limits that upstreams have named: from responses to its own requests, and from the leader.
 *
 * <p>A limit that the host hears counts at once. What the leader tells replaces it, unless the host has heard another
 * one since it asked: the leader may not know of that yet. So the host sends to a limited upstream without the leader's
 * permission only after the leader has told it that the limit has ended. A leader of an older build doesn't tell; then
 * a response without a limit ends it, if its request was sent after the last response that named one.
 *
 * <p>Not thread-safe.
 */
final class LimitKnowledge {
    private static final Logger LOG = LogManager.getLogger(LimitKnowledge.class);
    /** Bounds the memory; the limits heard first are forgotten first. */
    private static final int MAX_UPSTREAMS = 20_000;

    private final Map<String, Belief> beliefs = BoundedMap.of(MAX_UPSTREAMS);

    private LimitKnowledge() {}

    static LimitKnowledge create() {
        return new LimitKnowledge();
    }

    /** Returns what this host believes. */
    UpstreamLimit limit(UpstreamStart upstream) {
        return belief(upstream).map(Belief::limit).orElseGet(() -> UpstreamLimit.none(upstream));
    }

    /** Returns the requests per second that may be sent; empty if this host believes in no limit. */
    OptionalDouble rate(UpstreamStart upstream) {
        // Asked for each candidate of each request, and hardly ever is there a limit.
        return beliefs.isEmpty() ? OptionalDouble.empty() : limit(upstream).rate();
    }

    /** Returns how many responses have named a limit up to now. */
    long heardCount(UpstreamStart upstream) {
        return belief(upstream).map(Belief::heardCount).orElse(0L);
    }

    /** Records a response that named a limit. */
    void heard(UpstreamStart upstream, double perSecond, long nowNanos) {
        Optional<Belief> known = belief(upstream);
        UpstreamLimit before = limit(upstream);
        // What the leader told may be newer than this response, unless this one is lower.
        boolean lower =
                before.perSecond().isEmpty() || perSecond < before.perSecond().getAsDouble();
        UpstreamLimit after = before.version().isEmpty() || lower
                ? new UpstreamLimit(upstream, OptionalDouble.of(perSecond), Optional.empty())
                : before;
        set(new Belief(after, known.map(Belief::heardCount).orElse(0L) + 1, nowNanos), "response");
    }

    /** Records a response without a limit to a request whose permission came from a leader of an older build. */
    void notNamed(UpstreamStart upstream, long askedNanos) {
        belief(upstream)
                .filter(belief -> askedNanos - belief.heardNanos() > 0)
                .ifPresent(belief -> set(belief.with(UpstreamLimit.none(upstream)), "response"));
    }

    /**
     * Records what the leader answered.
     *
     * @param upstream the upstream that it was asked about
     * @param told what it knows
     * @param heardBefore {@link #heardCount} when it was asked
     */
    void told(UpstreamStart upstream, UpstreamLimit told, long heardBefore) {
        if (heardCount(upstream) != heardBefore) {
            return;
        }
        Optional<Belief> known = belief(upstream);
        if (known.isEmpty() && told.perSecond().isEmpty()) {
            return;
        }
        UpstreamLimit limit = new UpstreamLimit(upstream, told.perSecond(), told.version());
        set(known.map(belief -> belief.with(limit)).orElseGet(() -> new Belief(limit, 0, 0)), "leader");
    }

    /** Records that the leader has announced a limit. */
    void announced(UpstreamLimit announced) {
        if (limit(announced.upstream()).perSecond().isEmpty()) {
            told(announced.upstream(), announced, heardCount(announced.upstream()));
        }
    }

    private Optional<Belief> belief(UpstreamStart upstream) {
        return Optional.ofNullable(beliefs.get(upstream.upstream()))
                .filter(belief -> belief.limit().upstream().equals(upstream));
    }

    private void set(Belief belief, String source) {
        UpstreamStart upstream = belief.limit().upstream();
        OptionalDouble before = limit(upstream).perSecond();
        OptionalDouble after = belief.limit().perSecond();
        beliefs.remove(upstream.upstream());
        beliefs.put(upstream.upstream(), belief);
        if (before.equals(after)) {
            return;
        }
        if (after.isPresent()) {
            LOG.info(
                    "event=upstream_rate_limited id={} per_second={} source={}",
                    upstream.upstream(),
                    after.getAsDouble(),
                    source);
        } else {
            LOG.info("event=upstream_rate_limit_ended id={} source={}", upstream.upstream(), source);
        }
    }

    /**
     * What this host believes of one start of an upstream.
     *
     * @param limit the limit
     * @param heardCount number of responses that named one
     * @param heardNanos monotonic time of the last of them
     */
    private record Belief(UpstreamLimit limit, long heardCount, long heardNanos) {
        Belief with(UpstreamLimit changed) {
            return new Belief(changed, heardCount, heardNanos);
        }
    }
}
