package org.arbutusfield.lab.control;

import java.util.Optional;
import org.arbutusfield.distribution.PullPlan;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberTable;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipView;
import org.arbutusfield.member.RevisionAnnouncement;

/** The pure state machines of one host in a {@link StateMachineFleet}. */
final class StateMachineHost {
    final Member member;
    final int region;
    MembershipView view;
    PullPlan plan = PullPlan.idle();
    RevisionAnnouncement installed = RevisionAnnouncement.NONE;
    long installedNanos;
    boolean dead;
    boolean flushPending;

    StateMachineHost(Member member, int region, MemberTable table, MembershipLimits limits) {
        this.member = member;
        this.region = region;
        this.view = MembershipView.start(member, table, limits, 0);
    }

    /** Installs a revision if it is newer than the installed one; returns whether it was. */
    boolean install(RevisionAnnouncement offered, long nowNanos) {
        if (offered.revision() <= installed.revision()) {
            return false;
        }
        installed = offered;
        installedNanos = nowNanos;
        return true;
    }

    /** Records an announcement, and returns the read to start now, if any. */
    Optional<PullPlan.Holder> onAnnouncement(Member peer, RevisionAnnouncement announcement, long nowNanos) {
        plan = plan.announced(
                peer, new RevisionId(announcement.revision(), announcement.digest()), installed.revision());
        return nextRead(nowNanos);
    }

    /** Records the end of a read, and returns the next read to start, if any. */
    Optional<PullPlan.Holder> onReadFinished(PullPlan.Holder holder, boolean succeeded, long nowNanos) {
        plan = plan.finished(holder, succeeded);
        return nextRead(nowNanos);
    }

    private Optional<PullPlan.Holder> nextRead(long nowNanos) {
        Optional<PullPlan.Holder> next = plan.next(installed.revision(), nowNanos);
        next.ifPresent(holder -> plan = plan.started(holder, nowNanos));
        return next;
    }
}
