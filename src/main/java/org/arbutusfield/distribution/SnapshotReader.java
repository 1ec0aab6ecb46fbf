package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.SnapshotChunk;
import org.arbutusfield.wire.gen.SnapshotRequest;

/**
 * Reads a revision from a peer in chunks, as whole content or as a delta. If the peer installs a newer revision
 * meanwhile, the read restarts with that revision.
 */
final class SnapshotReader {
    private static final Duration CHUNK_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_RESTARTS = 3;

    private final ControlTransport transport;
    private final PeerAddress peer;
    private final Optional<Snapshot> current;
    private final boolean full;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private RevisionId requested;
    private long baseRevision;
    private int restarts;

    private SnapshotReader(
            ControlTransport transport,
            PeerAddress peer,
            Optional<Snapshot> current,
            RevisionId announced,
            boolean full) {
        this.transport = transport;
        this.peer = peer;
        this.current = current;
        this.requested = announced;
        this.full = full;
        this.baseRevision = -1;
    }

    /**
     * Reads from a peer.
     *
     * @param current the snapshot in force here
     * @param announced the revision that the peer announced
     * @param full whether to request the whole content even if a delta is available
     */
    static CompletableFuture<Either<Failure, ReceivedSnapshot>> start(
            ControlTransport transport,
            PeerAddress peer,
            Optional<Snapshot> current,
            RevisionId announced,
            boolean full) {
        return new SnapshotReader(transport, peer, current, announced, full).requestNext();
    }

    private CompletableFuture<Either<Failure, ReceivedSnapshot>> requestNext() {
        SnapshotRequest request = new SnapshotRequest();
        request.setHaveRevision(
                current.map(snapshot -> snapshot.revisionId().revision()).orElse(0L));
        request.setHaveDigest(
                current.map(snapshot -> snapshot.revisionId().digest()).orElse(""));
        request.setWantRevision(requested.revision());
        request.setWantDigest(requested.digest());
        request.setOffset(received.size());
        request.setMaxBytes(SnapshotServer.MAX_CHUNK_BYTES);
        request.setFull(full);
        return transport
                .call(peer, ControlMessage.snapshotRequest(request), CHUNK_TIMEOUT)
                .thenCompose(result -> result.fold(
                        failure -> CompletableFuture.completedFuture(Either.left(failure)), this::onResponse));
    }

    private CompletableFuture<Either<Failure, ReceivedSnapshot>> onResponse(ControlMessage message) {
        if (!message.isSetSnapshotChunk() || !isValid(message.getSnapshotChunk())) {
            return failed(ErrorCode.PEER_PROTOCOL);
        }
        SnapshotChunk chunk = message.getSnapshotChunk();
        RevisionId revisionId = new RevisionId(chunk.getRevision(), chunk.getDigest());
        boolean continues =
                revisionId.equals(requested) && (baseRevision < 0 || baseRevision == chunk.getBaseRevision());
        if (!continues || chunk.getOffset() != received.size()) {
            if (chunk.getOffset() != 0 || restarts++ >= MAX_RESTARTS) {
                return failed(ErrorCode.PEER_PROTOCOL);
            }
            received.reset();
        }
        requested = revisionId;
        baseRevision = chunk.getBaseRevision();
        received.writeBytes(chunk.getContent());
        if (received.size() < chunk.getTotalBytes()) {
            return requestNext();
        }
        return CompletableFuture.completedFuture(assemble(chunk));
    }

    private static boolean isValid(SnapshotChunk chunk) {
        boolean sized = chunk.getTotalBytes() >= 0 && chunk.getTotalBytes() <= ContentDelta.MAX_CONTENT_BYTES;
        boolean filled = chunk.getContent() != null
                && chunk.getOffset() + chunk.getContent().length <= chunk.getTotalBytes()
                && (chunk.getContent().length > 0 || chunk.getTotalBytes() == 0);
        return sized && filled && chunk.getDigest() != null && chunk.getRevision() > 0 && chunk.getBaseRevision() >= 0;
    }

    private Either<Failure, ReceivedSnapshot> assemble(SnapshotChunk last) {
        byte[] bytes = received.toByteArray();
        if (baseRevision == 0) {
            return Either.right(new ReceivedSnapshot(Snapshot.of(requested, bytes), Optional.empty()));
        }
        RevisionId baseId = new RevisionId(baseRevision, String.valueOf(last.getBaseDigest()));
        Snapshot baseSnapshot =
                current.filter(snapshot -> snapshot.revisionId().equals(baseId)).orElse(null);
        if (baseSnapshot == null) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "delta", "against an unknown base"));
        }
        return ContentDelta.apply(baseSnapshot.shared(), bytes).map(content -> {
            Snapshot snapshot = Snapshot.of(requested, content);
            return new ReceivedSnapshot(snapshot, Optional.of(RevisionDelta.received(baseSnapshot, snapshot, bytes)));
        });
    }

    private static CompletableFuture<Either<Failure, ReceivedSnapshot>> failed(ErrorCode code) {
        return CompletableFuture.completedFuture(Either.left(Failure.of(code, "snapshot chunk")));
    }
}
