package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.SnapshotChunk;
import org.arbutusfield.wire.gen.SnapshotRequest;

/**
 * Responds to requests for chunks of the configuration in force, as a delta if one from the requester's revision is
 * available.
 */
final class SnapshotServer {
    /** Largest content of one chunk, in bytes. */
    static final int MAX_CHUNK_BYTES = 128 * 1024;

    private final RunningRevision running;
    private final DeltaHistory history;

    SnapshotServer(RunningRevision running, DeltaHistory history) {
        this.running = running;
        this.history = history;
    }

    /** A chunk, or {@code REVISION_UNKNOWN} if the revision in force here is older than the requested one. */
    Either<Failure, ControlMessage> handle(SnapshotRequest request) {
        Snapshot current = running.current().orElse(null);
        if (current == null || current.revisionId().revision() < request.getWantRevision()) {
            return Either.left(Failure.of(ErrorCode.REVISION_UNKNOWN, "revision " + request.getWantRevision()));
        }
        if (request.getOffset() < 0 || request.getMaxBytes() <= 0) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "snapshot request"));
        }
        RevisionId requesterRevision =
                new RevisionId(request.getHaveRevision(), String.valueOf(request.getHaveDigest()));
        Optional<RevisionDelta> delta = request.isFull() ? Optional.empty() : history.latestFrom(requesterRevision);
        if (delta.isPresent()) {
            return Either.right(chunk(
                    delta.get().target(),
                    Optional.of(requesterRevision),
                    delta.get().shared(),
                    request));
        }
        return Either.right(chunk(current.revisionId(), Optional.empty(), current.shared(), request));
    }

    private static ControlMessage chunk(
            RevisionId revisionId, Optional<RevisionId> base, byte[] content, SnapshotRequest request) {
        boolean continued = request.getWantRevision() == revisionId.revision()
                && revisionId.digest().equals(request.getWantDigest())
                && request.getOffset() <= content.length;
        int offset = continued ? (int) request.getOffset() : 0;
        int end = Math.min(content.length, offset + Math.min(request.getMaxBytes(), MAX_CHUNK_BYTES));
        SnapshotChunk chunk = new SnapshotChunk();
        chunk.setRevision(revisionId.revision());
        chunk.setDigest(revisionId.digest());
        chunk.setBaseRevision(base.map(RevisionId::revision).orElse(0L));
        chunk.setBaseDigest(base.map(RevisionId::digest).orElse(""));
        chunk.setTotalBytes(content.length);
        chunk.setOffset(offset);
        chunk.setContent(Arrays.copyOfRange(content, offset, end));
        return ControlMessage.snapshotChunk(chunk);
    }
}
