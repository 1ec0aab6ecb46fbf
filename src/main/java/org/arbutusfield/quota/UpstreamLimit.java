package org.arbutusfield.quota;

import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.wire.gen.KnownLimit;
import org.arbutusfield.wire.gen.LimitSequence;

/**
 * The limit that an upstream has named, as somebody knows it.
 *
 * @param upstream the start of the upstream that named it
 * @param perSecond requests per second that it accepts from all hosts together, zero or more; empty if it names none
 * @param version version at which a leader told it, or gave the permission for the request that showed it; empty if it
 *     comes from a response to a request without a permission
 */
public record UpstreamLimit(UpstreamStart upstream, OptionalDouble perSecond, Optional<LimitVersion> version) {
    /** An upstream that names next to nothing must still be asked whether that has changed. In requests per second. */
    private static final double MIN_RATE = 0.3;

    static UpstreamLimit none(UpstreamStart upstream) {
        return new UpstreamLimit(upstream, OptionalDouble.empty(), Optional.empty());
    }

    /** Returns the requests per second that may be sent; empty if there is no limit. */
    OptionalDouble rate() {
        return perSecond.isPresent()
                ? OptionalDouble.of(Math.max(MIN_RATE, perSecond.getAsDouble()))
                : OptionalDouble.empty();
    }

    static UpstreamLimit decode(KnownLimit message) {
        Optional<LimitVersion> version = Optional.ofNullable(message.getSequence())
                .map(sequence -> new LimitVersion(sequence.getTerm(), sequence.getSequence()));
        return new UpstreamLimit(
                new UpstreamStart(message.getUpstream(), message.getStartMillis()),
                message.isSetPerSecond() ? OptionalDouble.of(message.getPerSecond()) : OptionalDouble.empty(),
                version);
    }

    KnownLimit encode() {
        KnownLimit message = new KnownLimit(upstream.upstream(), upstream.startMillis());
        perSecond.ifPresent(message::setPerSecond);
        version.ifPresent(known -> message.setSequence(new LimitSequence(known.term(), known.sequence())));
        return message;
    }
}
