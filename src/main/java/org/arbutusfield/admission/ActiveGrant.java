package org.arbutusfield.admission;

/** A slot in use, granted by this broker or by another one and then reported by the host that holds it. */
final class ActiveGrant {
    private final SlotToken token;
    private final String requestId;
    private final String requestClass;
    private final UpstreamState server;
    private long expiryNanos;

    private ActiveGrant(
            SlotToken token, String requestId, String requestClass, UpstreamState server, long expiryNanos) {
        this.token = token;
        this.requestId = requestId;
        this.requestClass = requestClass;
        this.server = server;
        this.expiryNanos = expiryNanos;
    }

    static ActiveGrant of(
            SlotToken token, String requestId, String requestClass, UpstreamState server, long expiryNanos) {
        return new ActiveGrant(token, requestId, requestClass, server, expiryNanos);
    }

    SlotToken token() {
        return token;
    }

    String requestId() {
        return requestId;
    }

    String requestClass() {
        return requestClass;
    }

    UpstreamState server() {
        return server;
    }

    long expiryNanos() {
        return expiryNanos;
    }

    void extendTo(long nanos) {
        expiryNanos = Math.max(expiryNanos, nanos);
    }
}
