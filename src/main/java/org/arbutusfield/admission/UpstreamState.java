package org.arbutusfield.admission;

/** A broker's view of one upstream. */
final class UpstreamState {
    private final String upstream;
    private final long shedRecoveryNanos;
    private UpstreamSlots server;
    private boolean withdrawn;
    private int limit = Integer.MAX_VALUE;
    private int inUse;
    private int withheldSlots;
    private long withheldSinceNanos;

    private UpstreamState(UpstreamSlots server, long shedRecoveryNanos) {
        this.upstream = server.upstream();
        this.server = server;
        this.shedRecoveryNanos = shedRecoveryNanos;
    }

    static UpstreamState of(UpstreamSlots server, long shedRecoveryNanos) {
        return new UpstreamState(server, shedRecoveryNanos);
    }

    /** An upstream known only from a host's report. */
    static UpstreamState reported(String upstream, long shedRecoveryNanos) {
        UpstreamState state = new UpstreamState(new UpstreamSlots(upstream, "", 0, true), shedRecoveryNanos);
        state.withdrawn = true;
        return state;
    }

    String upstream() {
        return upstream;
    }

    String failureDomain() {
        return server.failureDomain();
    }

    int inUse() {
        return inUse;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    boolean drained() {
        return withdrawn || server.drained();
    }

    /** Number of slots that may be used now, whether in use or free. */
    int capacity(long nowNanos) {
        if (drained()) {
            return 0;
        }
        return Math.max(0, Math.min(server.slots(), limit) - withheldSlotsAt(nowNanos));
    }

    int free(long nowNanos) {
        return Math.max(0, capacity(nowNanos) - inUse);
    }

    /** When the next withheld slot is used again; {@link Long#MAX_VALUE} if none is withheld. */
    long nextRecoveryNanos(long nowNanos) {
        int steps = withheldSlots - withheldSlotsAt(nowNanos);
        return steps == withheldSlots ? Long.MAX_VALUE : withheldSinceNanos + (steps + 1) * shedRecoveryNanos;
    }

    void configure(UpstreamSlots to) {
        server = to;
        withdrawn = false;
    }

    void withdraw() {
        withdrawn = true;
    }

    void limitTo(int slots) {
        limit = slots;
    }

    void acquire() {
        inUse++;
    }

    void release() {
        inUse--;
    }

    /** Withholds one slot for a while, because the upstream shed or failed a request that it had a slot for. */
    void withholdSlot(long nowNanos) {
        withheldSlots = Math.min(server.slots(), withheldSlotsAt(nowNanos) + 1);
        withheldSinceNanos = nowNanos;
    }

    private int withheldSlotsAt(long nowNanos) {
        long recovered = (nowNanos - withheldSinceNanos) / shedRecoveryNanos;
        return (int) Math.max(0, withheldSlots - recovered);
    }
}
