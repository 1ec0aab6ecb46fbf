package org.arbutusfield.distribution;

import io.vavr.control.Either;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;

/** Decides whether a received snapshot's content is what its root names, and can be used. */
@FunctionalInterface
public interface SnapshotCheck {
    /** The snapshot, or why it must not be installed. */
    Either<Failure, Snapshot> check(Snapshot snapshot);

    /** The check for roots whose digest is the SHA-256 of the content; fails with {@code STORE_CORRUPT}. */
    static SnapshotCheck sha256() {
        return snapshot ->
                Digests.sha256(snapshot.shared()).equals(snapshot.revisionId().digest())
                        ? Either.right(snapshot)
                        : Either.left(Failure.of(
                                ErrorCode.STORE_CORRUPT,
                                "revision " + snapshot.revisionId().revision()));
    }
}
