package org.arbutusfield.admission;

/** What a broker believes of one server. */
final class ServerState {
    private final String upstream;
    private final long shedRecoveryNanos;
    private SlotServer server;
    private boolean withdrawn;
    private int limit = Integer.MAX_VALUE;
    private int inUse;
    private int lowered;
    private long loweredNanos;

    private ServerState(SlotServer server, long shedRecoveryNanos) {
        this.upstream = server.upstream();
        this.server = server;
        this.shedRecoveryNanos = shedRecoveryNanos;
    }

    static ServerState of(SlotServer server, long shedRecoveryNanos) {
        return new ServerState(server, shedRecoveryNanos);
    }

    /** A server known only from a host's report. */
    static ServerState unknown(String upstream, long shedRecoveryNanos) {
        ServerState state = new ServerState(new SlotServer(upstream, "", 0, true), shedRecoveryNanos);
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

    /** Slots that may be used now, whether or not they are. */
    int capacity(long nowNanos) {
        if (drained()) {
            return 0;
        }
        return Math.max(0, Math.min(server.slots(), limit) - loweredAt(nowNanos));
    }

    int free(long nowNanos) {
        return Math.max(0, capacity(nowNanos) - inUse);
    }

    /** When the next lowered slot is tried again; {@link Long#MAX_VALUE} when none is lowered. */
    long nextRecoveryNanos(long nowNanos) {
        int steps = lowered - loweredAt(nowNanos);
        return steps == lowered ? Long.MAX_VALUE : loweredNanos + (steps + 1) * shedRecoveryNanos;
    }

    void configure(SlotServer to) {
        server = to;
        withdrawn = false;
    }

    void withdraw() {
        withdrawn = true;
    }

    void limitTo(int slots) {
        limit = slots;
    }

    void take() {
        inUse++;
    }

    void giveBack() {
        inUse--;
    }

    /** The server refused or failed work that it had a slot for: use one slot less for a while. */
    void lower(long nowNanos) {
        lowered = Math.min(server.slots(), loweredAt(nowNanos) + 1);
        loweredNanos = nowNanos;
    }

    private int loweredAt(long nowNanos) {
        long recovered = (nowNanos - loweredNanos) / shedRecoveryNanos;
        return (int) Math.max(0, lowered - recovered);
    }
}
