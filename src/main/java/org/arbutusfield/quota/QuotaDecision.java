package org.arbutusfield.quota;

import java.time.Duration;
import java.util.Optional;
import org.arbutusfield.wire.gen.QuotaResponse;

/**
 * The answer to a host that asks to send a request to a limited upstream.
 *
 * @param granted whether the request may be sent
 * @param retryAfter if not, the time after which to ask again
 * @param limit what the leader knows of the upstream's limit, at its present version; empty from an older build
 */
record QuotaDecision(boolean granted, Duration retryAfter, Optional<UpstreamLimit> limit) {
    private static final long NANOS_PER_MICRO = 1_000;

    static QuotaDecision grant(UpstreamLimit limit) {
        return new QuotaDecision(true, Duration.ZERO, Optional.of(limit));
    }

    static QuotaDecision refuse(Duration retryAfter, UpstreamLimit limit) {
        return new QuotaDecision(false, retryAfter, Optional.of(limit));
    }

    static QuotaDecision decode(QuotaResponse message) {
        Duration retryAfter = Duration.ofNanos(Math.max(0, message.getRetryMicros()) * NANOS_PER_MICRO);
        return new QuotaDecision(
                message.isGranted(),
                retryAfter,
                Optional.ofNullable(message.getLimit()).map(UpstreamLimit::decode));
    }

    QuotaResponse encode() {
        QuotaResponse message = new QuotaResponse(granted, retryAfter.toNanos() / NANOS_PER_MICRO);
        limit.ifPresent(known -> message.setLimit(known.encode()));
        return message;
    }
}
