package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Asks the {@link CrashGuard} about one request, and tells it how the request fares. Confined to the request's event
 * loop.
 */
final class CrashCheck {
    private static final int FIRST_FAILURE_STATUS = 500;

    private final ProxyContext context;
    private final CallerRequest caller;
    private final RequestHead head;
    private final RequestBody body;
    private List<String> fingerprints = List.of();

    private CrashCheck(ProxyContext context, CallerRequest caller, RequestHead head, RequestBody body) {
        this.context = context;
        this.caller = caller;
        this.head = head;
        this.body = body;
    }

    static CrashCheck of(ProxyContext context, CallerRequest caller, RequestHead head, RequestBody body) {
        return new CrashCheck(context, caller, head, body);
    }

    /** The refusal of a request that must not reach an upstream. Its body must have been received, or be too large. */
    Optional<Failure> refusal() {
        return guard().hasSuspects() && fingerprints().stream().anyMatch(guard()::quarantined)
                ? Optional.of(
                        Failure.of(ErrorCode.REQUEST_QUARANTINED, head.service().name()))
                : Optional.empty();
    }

    /** False if the request may have ended an upstream, so that no other one should get it unasked. */
    boolean mayRepeat() {
        return !guard().hasSuspects() || fingerprints().stream().noneMatch(guard()::suspect);
    }

    /** Called when an upstream has answered the request completely. An upstream that fails may still end. */
    void answered(int status) {
        if (status < FIRST_FAILURE_STATUS) {
            guard().answered(this::fingerprints);
        }
    }

    /** Called when the connection of an attempt was lost after the request was sent. */
    void connectionLost(Attempt attempt) {
        if (!(attempt.target() instanceof PlacementTarget.UpstreamTarget target)) {
            return;
        }
        long lostNanos = System.nanoTime();
        Duration sinceSent = attempt.timeSinceSent();
        List<String> digests = fingerprints();
        attempt.checkUpstreamEnded(ended ->
                report(new InterruptedRun(head.requestId(), digests, target.upstream(), sinceSent, lostNanos, ended)));
    }

    private void report(InterruptedRun run) {
        context.components().observer().runInterrupted(run);
        guard().runInterrupted(run);
    }

    private CrashGuard guard() {
        return context.components().crashGuard();
    }

    private List<String> fingerprints() {
        if (fingerprints.isEmpty()) {
            fingerprints = RequestFingerprint.ofRepeats(
                    head, body, caller.remoteAddress().getAddress());
        }
        return fingerprints;
    }
}
