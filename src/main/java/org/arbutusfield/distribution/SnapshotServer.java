package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.SnapshotChunk;
import org.arbutusfield.wire.gen.SnapshotRequest;

/** Answers requests for parts of the running configuration, as a delta where the asker's revision allows it. */
final class SnapshotServer {
    /** Largest part in one message, in bytes. */
    static final int MAX_PART_BYTES = 128 * 1024;

    private final RunningRevision running;
    private final DeltaHistory history;

    SnapshotServer(RunningRevision running, DeltaHistory history) {
        this.running = running;
        this.history = history;
    }

    /** A part, or {@code REVISION_UNKNOWN} if what is in force here is older than what is asked for. */
    Either<Failure, ControlMessage> answer(SnapshotRequest request) {
        Snapshot current = running.current().orElse(null);
        if (current == null || current.revisionId().revision() < request.getWantRevision()) {
            return Either.left(Failure.of(ErrorCode.REVISION_UNKNOWN, "revision " + request.getWantRevision()));
        }
        if (request.getOffset() < 0 || request.getMaxBytes() <= 0) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "snapshot request"));
        }
        RevisionId have = new RevisionId(request.getHaveRevision(), String.valueOf(request.getHaveDigest()));
        Optional<RevisionDelta> step = request.isFull() ? Optional.empty() : history.from(have);
        if (step.isPresent()) {
            return Either.right(
                    chunk(step.get().target(), Optional.of(have), step.get().shared(), request));
        }
        return Either.right(chunk(current.revisionId(), Optional.empty(), current.shared(), request));
    }

    private static ControlMessage chunk(
            RevisionId root, Optional<RevisionId> base, byte[] content, SnapshotRequest request) {
        boolean continued = request.getWantRevision() == root.revision()
                && root.digest().equals(request.getWantDigest())
                && request.getOffset() <= content.length;
        int offset = continued ? (int) request.getOffset() : 0;
        int end = Math.min(content.length, offset + Math.min(request.getMaxBytes(), MAX_PART_BYTES));
        SnapshotChunk chunk = new SnapshotChunk();
        chunk.setRevision(root.revision());
        chunk.setDigest(root.digest());
        chunk.setBaseRevision(base.map(RevisionId::revision).orElse(0L));
        chunk.setBaseDigest(base.map(RevisionId::digest).orElse(""));
        chunk.setTotalBytes(content.length);
        chunk.setOffset(offset);
        chunk.setContent(Arrays.copyOfRange(content, offset, end));
        return ControlMessage.snapshotChunk(chunk);
    }
}
