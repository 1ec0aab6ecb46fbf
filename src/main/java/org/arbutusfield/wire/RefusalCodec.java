package org.arbutusfield.wire;

import java.time.Duration;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.Refusal;

/** Converts failures to and from {@link Refusal} messages. */
public final class RefusalCodec {
    private RefusalCodec() {}

    /** The message for a failure. */
    public static Refusal encode(Failure failure) {
        Refusal refusal = new Refusal();
        refusal.setCode(failure.code().name());
        refusal.setDetail(failure.subject());
        refusal.setRetryAfterMillis(failure.retryAfter().map(Duration::toMillis).orElse(0L));
        return refusal;
    }

    /** The failure in a message; an unknown code, such as one of a later release, becomes {@code PEER_PROTOCOL}. */
    public static Failure decode(Refusal refusal) {
        ErrorCode code = ErrorCode.PEER_PROTOCOL;
        for (ErrorCode candidate : ErrorCode.values()) {
            if (candidate.name().equals(refusal.getCode())) {
                code = candidate;
            }
        }
        Optional<Duration> retryAfter = refusal.getRetryAfterMillis() > 0
                ? Optional.of(Duration.ofMillis(refusal.getRetryAfterMillis()))
                : Optional.empty();
        String detail = refusal.getDetail() == null ? "" : refusal.getDetail();
        return new Failure(code, "", detail, retryAfter);
    }
}
