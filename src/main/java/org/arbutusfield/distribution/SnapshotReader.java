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
 * Reads one encoding of one revision from a peer, part by part. If the peer moves on meanwhile, the read starts over
 * with the peer's new revision.
 */
final class SnapshotReader {
    private static final Duration PART_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_RESTARTS = 3;

    private final ControlTransport transport;
    private final PeerAddress peer;
    private final Optional<Snapshot> have;
    private final boolean full;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private RevisionId reading;
    private long base;
    private int restarts;

    private SnapshotReader(
            ControlTransport transport, PeerAddress peer, Optional<Snapshot> have, RevisionId want, boolean full) {
        this.transport = transport;
        this.peer = peer;
        this.have = have;
        this.reading = want;
        this.full = full;
        this.base = -1;
    }

    /**
     * Reads from a peer.
     *
     * @param have what is in force here
     * @param want what the peer announced
     * @param full whether to ask for the whole content even where a delta would do
     */
    static CompletableFuture<Either<Failure, ReceivedSnapshot>> start(
            ControlTransport transport, PeerAddress peer, Optional<Snapshot> have, RevisionId want, boolean full) {
        return new SnapshotReader(transport, peer, have, want, full).next();
    }

    private CompletableFuture<Either<Failure, ReceivedSnapshot>> next() {
        SnapshotRequest request = new SnapshotRequest();
        request.setHaveRevision(
                have.map(snapshot -> snapshot.revisionId().revision()).orElse(0L));
        request.setHaveDigest(
                have.map(snapshot -> snapshot.revisionId().digest()).orElse(""));
        request.setWantRevision(reading.revision());
        request.setWantDigest(reading.digest());
        request.setOffset(received.size());
        request.setMaxBytes(SnapshotServer.MAX_PART_BYTES);
        request.setFull(full);
        return transport
                .call(peer, ControlMessage.snapshotRequest(request), PART_TIMEOUT)
                .thenCompose(answer ->
                        answer.fold(failure -> CompletableFuture.completedFuture(Either.left(failure)), this::take));
    }

    private CompletableFuture<Either<Failure, ReceivedSnapshot>> take(ControlMessage message) {
        if (!message.isSetSnapshotChunk() || !valid(message.getSnapshotChunk())) {
            return failed(ErrorCode.PEER_PROTOCOL);
        }
        SnapshotChunk chunk = message.getSnapshotChunk();
        RevisionId root = new RevisionId(chunk.getRevision(), chunk.getDigest());
        boolean continues = root.equals(reading) && (base < 0 || base == chunk.getBaseRevision());
        if (!continues || chunk.getOffset() != received.size()) {
            if (chunk.getOffset() != 0 || restarts++ >= MAX_RESTARTS) {
                return failed(ErrorCode.PEER_PROTOCOL);
            }
            received.reset();
        }
        reading = root;
        base = chunk.getBaseRevision();
        received.writeBytes(chunk.getContent());
        if (received.size() < chunk.getTotalBytes()) {
            return next();
        }
        return CompletableFuture.completedFuture(finished(chunk));
    }

    private static boolean valid(SnapshotChunk chunk) {
        boolean sized = chunk.getTotalBytes() >= 0 && chunk.getTotalBytes() <= ContentDelta.MAX_CONTENT_BYTES;
        boolean filled = chunk.getContent() != null
                && chunk.getOffset() + chunk.getContent().length <= chunk.getTotalBytes()
                && (chunk.getContent().length > 0 || chunk.getTotalBytes() == 0);
        return sized && filled && chunk.getDigest() != null && chunk.getRevision() > 0 && chunk.getBaseRevision() >= 0;
    }

    private Either<Failure, ReceivedSnapshot> finished(SnapshotChunk last) {
        byte[] bytes = received.toByteArray();
        if (base == 0) {
            return Either.right(new ReceivedSnapshot(Snapshot.of(reading, bytes), Optional.empty()));
        }
        RevisionId from = new RevisionId(base, String.valueOf(last.getBaseDigest()));
        Snapshot known =
                have.filter(snapshot -> snapshot.revisionId().equals(from)).orElse(null);
        if (known == null) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "delta", "against an unknown base"));
        }
        return ContentDelta.apply(known.shared(), bytes).map(content -> {
            Snapshot snapshot = Snapshot.of(reading, content);
            return new ReceivedSnapshot(snapshot, Optional.of(RevisionDelta.received(known, snapshot, bytes)));
        });
    }

    private static CompletableFuture<Either<Failure, ReceivedSnapshot>> failed(ErrorCode code) {
        return CompletableFuture.completedFuture(Either.left(Failure.of(code, "snapshot chunk")));
    }
}
