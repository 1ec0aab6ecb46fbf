package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.member.RevisionAnnouncement;

/**
 * The configuration in force on this host. It is replaced as a whole by a newer revision and never by an older one.
 *
 * <p>Subscribers are called in the order of the revisions, each once per revision, before {@link #install} returns.
 * They must not block and must not call {@code install}. An exception of a subscriber is logged, and the other
 * subscribers are still called.
 */
public final class RunningRevision {
    private static final Logger LOG = LogManager.getLogger(RunningRevision.class);

    private final SnapshotCheck check;
    private final List<Consumer<Snapshot>> subscribers = new ArrayList<>();
    private final Object installLock = new Object();
    private volatile Optional<Snapshot> current = Optional.empty();

    private RunningRevision(SnapshotCheck check) {
        this.check = check;
    }

    /** The state of a host without a configuration. */
    public static RunningRevision create(SnapshotCheck check) {
        return new RunningRevision(check);
    }

    /** The snapshot in force; empty before the first one. */
    public Optional<Snapshot> current() {
        return current;
    }

    /** The announcement that this host sends to others. */
    public RevisionAnnouncement announcement() {
        return current.map(snapshot -> snapshot.revisionId().announcement()).orElse(RevisionAnnouncement.NONE);
    }

    /** Calls the subscriber with the snapshot in force, if there is one, and from now on with each newer one. */
    public void subscribe(Consumer<Snapshot> subscriber) {
        synchronized (installLock) {
            subscribers.add(subscriber);
            current.ifPresent(snapshot -> callSubscriber(subscriber, snapshot));
        }
    }

    /**
     * Puts a snapshot in force.
     *
     * @return true if the snapshot was installed, false if it was in force already; otherwise {@code REVISION_OLDER},
     *     {@code REVISION_CONFLICT} or the failure of the check
     */
    public Either<Failure, Boolean> install(Snapshot snapshot, Origin origin) {
        synchronized (installLock) {
            Either<Failure, Boolean> accepted = shouldInstall(snapshot.revisionId(), origin);
            if (accepted.isLeft() || !accepted.get()) {
                return accepted;
            }
            Either<Failure, Snapshot> checked = check.check(snapshot);
            if (checked.isLeft()) {
                return Either.left(checked.getLeft());
            }
            current = Optional.of(snapshot);
            LOG.info(
                    "event=revision_installed revision={} digest={} origin={}",
                    snapshot.revisionId().revision(),
                    snapshot.revisionId().digest(),
                    origin);
            subscribers.forEach(subscriber -> callSubscriber(subscriber, snapshot));
            return Either.right(true);
        }
    }

    private static void callSubscriber(Consumer<Snapshot> subscriber, Snapshot snapshot) {
        try {
            subscriber.accept(snapshot);
        } catch (RuntimeException e) {
            LOG.error(
                    "event=revision_subscriber_failed revision={}",
                    snapshot.revisionId().revision(),
                    e);
        }
    }

    private Either<Failure, Boolean> shouldInstall(RevisionId offered, Origin origin) {
        RevisionId inForce = current.map(Snapshot::revisionId).orElse(null);
        if (inForce == null || offered.revision() > inForce.revision()) {
            return Either.right(true);
        }
        if (offered.revision() < inForce.revision()) {
            return Either.left(Failure.of(ErrorCode.REVISION_OLDER, "revision " + offered.revision()));
        }
        if (offered.digest().equals(inForce.digest())) {
            return Either.right(false);
        }
        LOG.error(
                "event=revision_conflict code={} revision={} running={} offered={} origin={}",
                ErrorCode.REVISION_CONFLICT,
                offered.revision(),
                inForce.digest(),
                offered.digest(),
                origin);
        if (origin == Origin.STORE) {
            return Either.right(true);
        }
        return Either.left(Failure.of(ErrorCode.REVISION_CONFLICT, "revision " + offered.revision()));
    }
}
