package org.arbutusfield.quota;

import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.wire.gen.QuotaRequest;

/**
 * The question of a host whether it may send a request to an upstream.
 *
 * @param upstream name of the upstream
 * @param perSecond the rate that the host believes in, all taken together; hosts of older builds tell only this
 * @param limit what the host believes of the limit that the upstream has named; empty from an older build
 * @param coldPerSecond rate of the upstream if it is cold; empty if it is not, or from an older build
 */
record QuotaQuestion(String upstream, double perSecond, Optional<UpstreamLimit> limit, OptionalDouble coldPerSecond) {

    /** Creates the question of this build. */
    static QuotaQuestion of(UpstreamLimit limit, OptionalDouble coldPerSecond) {
        double perSecond = Rates.lower(coldPerSecond, limit.rate()).orElse(Double.MAX_VALUE);
        return new QuotaQuestion(limit.upstream().upstream(), perSecond, Optional.of(limit), coldPerSecond);
    }

    static QuotaQuestion decode(QuotaRequest message) {
        return new QuotaQuestion(
                message.getUpstream(),
                message.getPerSecond(),
                Optional.ofNullable(message.getLimit()).map(UpstreamLimit::decode),
                message.isSetColdPerSecond() ? OptionalDouble.of(message.getColdPerSecond()) : OptionalDouble.empty());
    }

    QuotaRequest encode() {
        QuotaRequest message = new QuotaRequest(upstream, perSecond);
        limit.ifPresent(known -> message.setLimit(known.encode()));
        coldPerSecond.ifPresent(message::setColdPerSecond);
        return message;
    }
}
