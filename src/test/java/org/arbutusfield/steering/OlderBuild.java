package org.arbutusfield.steering;

import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.QuotaRequest;
import org.arbutusfield.wire.gen.QuotaResponse;

/** What a build from before limits were told between hosts reads of a message. */
final class OlderBuild {
    private OlderBuild() {}

    /**
     * Returns the message without the fields that the older build skips; without content if it doesn't know the kind.
     */
    static ControlMessage known(ControlMessage message) {
        return switch (message.getSetField()) {
            case QUOTA_REQUEST ->
                ControlMessage.quotaRequest(new QuotaRequest(
                        message.getQuotaRequest().getUpstream(),
                        message.getQuotaRequest().getPerSecond()));
            case QUOTA_RESPONSE ->
                ControlMessage.quotaResponse(new QuotaResponse(
                        message.getQuotaResponse().isGranted(),
                        message.getQuotaResponse().getRetryMicros()));
            case LIMIT_REPORT, LIMIT_REPORT_RECEIVED, LIMIT_ANNOUNCEMENT, LIMIT_ANNOUNCEMENT_RECEIVED ->
                new ControlMessage();
            default -> message;
        };
    }
}
