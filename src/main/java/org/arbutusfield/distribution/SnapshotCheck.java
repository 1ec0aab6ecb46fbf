package org.arbutusfield.distribution;

import io.vavr.control.Either;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;

/** Decides whether the content of a received snapshot belongs to its revision and can be used. */
@FunctionalInterface
public interface SnapshotCheck {
    /** The snapshot, or the failure that forbids its installation. */
    Either<Failure, Snapshot> check(Snapshot snapshot);

    /** Checks that the digest is the SHA-256 of the content; fails with {@code STORE_CORRUPT}. */
    static SnapshotCheck sha256() {
        return snapshot ->
                Digests.sha256(snapshot.shared()).equals(snapshot.revisionId().digest())
                        ? Either.right(snapshot)
                        : Either.left(Failure.of(
                                ErrorCode.STORE_CORRUPT,
                                "revision " + snapshot.revisionId().revision()));
    }
}
