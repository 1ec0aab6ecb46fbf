package org.arbutusfield.proxy;

import java.time.Duration;

/** Reports when an upstream may have ended while it ran one request. Confined to the request's event loop. */
final class CrashCheck {
    private final ProxyContext context;
    private final CallerRequest caller;
    private final RequestHead head;
    private final RequestBody body;

    private CrashCheck(ProxyContext context, CallerRequest caller, RequestHead head, RequestBody body) {
        this.context = context;
        this.caller = caller;
        this.head = head;
        this.body = body;
    }

    static CrashCheck of(ProxyContext context, CallerRequest caller, RequestHead head, RequestBody body) {
        return new CrashCheck(context, caller, head, body);
    }

    /** Called when the connection of an attempt was lost after the request was sent. */
    void connectionLost(Attempt attempt) {
        if (!(attempt.target() instanceof PlacementTarget.UpstreamTarget target)) {
            return;
        }
        long lostNanos = System.nanoTime();
        Duration sinceSent = attempt.timeSinceSent();
        String fingerprint = fingerprint();
        attempt.checkUpstreamEnded(ended -> context.components()
                .observer()
                .runInterrupted(new InterruptedRun(
                        head.requestId(), fingerprint, target.upstream(), sinceSent, lostNanos, ended)));
    }

    private String fingerprint() {
        return RequestFingerprint.withCaller(head, body, caller.remoteAddress().getAddress());
    }
}
