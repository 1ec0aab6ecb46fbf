package org.arbutusfield.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.member.Member;

/**
 * Selects the peer from which to read the next revision, as a pure state machine.
 *
 * <p>Problem: several peers announce a revision at the same time, and any of them may die, be slow or stop responding
 * during a read. Idea: one read at a time, of the newest announced revision, from one of a few peers that announced it;
 * after a failed or overdue read, the next of them is tried.
 *
 * <p>Invariants: a read starts only for a revision newer than the installed one; at most one read runs, not counting
 * overdue reads, which are not cancelled; at most {@code MAX_HOLDERS} peers are remembered.
 */
public final class PullPlan {
    /** Time after which a read is overdue and another one may start. */
    public static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

    private static final int MAX_HOLDERS = 4;
    private static final PullPlan IDLE = new PullPlan(0, List.of(), Optional.empty(), 0);

    private final long revision;
    private final List<Holder> holders;
    private final Optional<Holder> reading;
    private final long readSinceNanos;

    private PullPlan(long revision, List<Holder> holders, Optional<Holder> reading, long readSinceNanos) {
        this.revision = revision;
        this.holders = List.copyOf(holders);
        this.reading = reading;
        this.readSinceNanos = readSinceNanos;
    }

    /** A plan with nothing to read. */
    public static PullPlan idle() {
        return IDLE;
    }

    /** The plan after a peer's announcement. */
    public PullPlan announced(Member peer, RevisionId revisionId, long installedRevision) {
        if (revisionId.revision() <= installedRevision || revisionId.revision() < revision) {
            return this;
        }
        List<Holder> next = new ArrayList<>();
        if (revisionId.revision() == revision) {
            next.addAll(holders);
        }
        next.removeIf(holder -> holder.peer().name().equals(peer.name()));
        if (next.size() < MAX_HOLDERS) {
            next.add(new Holder(peer, revisionId));
        }
        return new PullPlan(revisionId.revision(), next, reading, readSinceNanos);
    }

    /**
     * The plan after the end of a read. The holder of a failed read is dropped until it announces the revision again.
     */
    public PullPlan finished(Holder holder, boolean succeeded) {
        List<Holder> next = new ArrayList<>(holders);
        if (!succeeded) {
            next.remove(holder);
        }
        boolean current = reading.filter(holder::equals).isPresent();
        return new PullPlan(revision, next, current ? Optional.empty() : reading, readSinceNanos);
    }

    /** The holder to read from now, if a read should start. */
    public Optional<Holder> next(long installedRevision, long nowNanos) {
        boolean busy = reading.isPresent() && nowNanos - readSinceNanos < READ_TIMEOUT.toNanos();
        if (busy || holders.isEmpty() || revision <= installedRevision) {
            return Optional.empty();
        }
        if (reading.isEmpty()) {
            return Optional.of(holders.get(0));
        }
        return holders.stream().filter(holder -> !reading.get().equals(holder)).findFirst();
    }

    /** The plan once a read from the holder has started. */
    public PullPlan started(Holder holder, long nowNanos) {
        return new PullPlan(revision, holders, Optional.of(holder), nowNanos);
    }

    /**
     * A peer that has a revision.
     *
     * @param peer the peer
     * @param revisionId the revision that it announced
     */
    public record Holder(Member peer, RevisionId revisionId) {}
}
