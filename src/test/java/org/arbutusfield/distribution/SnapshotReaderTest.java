package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.SlotCancel;
import org.arbutusfield.wire.gen.SnapshotChunk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class SnapshotReaderTest {
    private static final PeerAddress PEER = new PeerAddress("peer", 1);
    private static final int LARGE = 5 * SnapshotServer.MAX_CHUNK_BYTES + 17;

    private final RunningRevision running = RunningRevision.create(SnapshotCheck.sha256());
    private final DeltaHistory history = DeltaHistory.create();
    private final SnapshotServer server = new SnapshotServer(running, history);
    private int calls;

    @Test
    void largeContentIsReadInChunks() {
        Snapshot large = snapshot(1, LARGE, 1);
        running.install(large, Origin.STORE);
        assertThat(read(Optional.empty(), large.revisionId(), false).get().snapshot())
                .isEqualTo(large);
        assertThat(calls).isEqualTo(6);
    }

    @Test
    void deltaIsReadIfPeerHasItAndWholeContentOtherwise() {
        Snapshot first = snapshot(1, LARGE, 1);
        Snapshot second = snapshot(2, LARGE, 2);
        running.install(second, Origin.STORE);
        history.add(RevisionDelta.between(first, second));
        ReceivedSnapshot byDelta =
                read(Optional.of(first), second.revisionId(), false).get();
        assertThat(byDelta.snapshot()).isEqualTo(second);
        assertThat(byDelta.delta()).isPresent();
        assertThat(calls).isEqualTo(1);
        Snapshot unrelated = snapshot(1, LARGE, 9);
        assertThat(read(Optional.of(unrelated), second.revisionId(), false)
                        .get()
                        .delta())
                .isEmpty();
        assertThat(read(Optional.of(first), second.revisionId(), true).get().delta())
                .isEmpty();
    }

    @Test
    void readRestartsWhenPeerInstallsNewerRevision() {
        Snapshot first = snapshot(1, LARGE, 1);
        Snapshot second = snapshot(2, LARGE, 2);
        running.install(first, Origin.STORE);
        Either<Failure, ReceivedSnapshot> outcome = SnapshotReader.start(
                        transport(chunk -> chunk, call -> {
                            if (call == 3) {
                                running.install(second, Origin.STORE);
                            }
                        }),
                        PEER,
                        Optional.empty(),
                        first.revisionId(),
                        false)
                .join();
        assertThat(outcome.get().snapshot()).isEqualTo(second);
    }

    @Test
    void peerWithOlderRevisionRefusesWithRevisionUnknown() {
        running.install(snapshot(1, 10, 1), Origin.STORE);
        RevisionId newer = snapshot(2, 10, 2).revisionId();
        assertThat(read(Optional.empty(), newer, false).getLeft().code()).isEqualTo(ErrorCode.REVISION_UNKNOWN);
    }

    static Stream<Arguments> invalidResponses() {
        return Stream.of(
                Arguments.of("another message", response(m -> ControlMessage.slotCancel(new SlotCancel()))),
                Arguments.of("no content", chunk(c -> c.setContent((byte[]) null))),
                Arguments.of("no progress", chunk(c -> c.setContent(new byte[0]))),
                Arguments.of("more than announced", chunk(c -> c.setTotalBytes(3))),
                Arguments.of("total size too large", chunk(c -> c.setTotalBytes(Long.MAX_VALUE))),
                Arguments.of("skipped part", chunk(c -> c.setOffset(c.getOffset() + 1))),
                Arguments.of("no digest", chunk(c -> c.setDigest(null))),
                Arguments.of("another digest in each chunk", chunk(c -> c.setDigest(c.getDigest() + "0"))),
                Arguments.of("delta against an unknown base", chunk(c -> c.setBaseRevision(77))));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidResponses")
    void invalidResponseFailsWithPeerProtocol(String name, UnaryOperator<ControlMessage> distort) {
        Snapshot large = snapshot(1, LARGE, 1);
        running.install(large, Origin.STORE);
        Either<Failure, ReceivedSnapshot> outcome = SnapshotReader.start(
                        transport(distort, call -> {}), PEER, Optional.empty(), large.revisionId(), false)
                .join();
        assertThat(outcome.getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }

    private Either<Failure, ReceivedSnapshot> read(Optional<Snapshot> have, RevisionId want, boolean full) {
        calls = 0;
        return SnapshotReader.start(transport(m -> m, call -> {}), PEER, have, want, full)
                .join();
    }

    private ControlTransport transport(UnaryOperator<ControlMessage> distort, Consumer<Integer> before) {
        return (peer, message, timeout) -> {
            before.accept(++calls);
            return CompletableFuture.completedFuture(
                    server.handle(message.getSnapshotRequest()).map(distort));
        };
    }

    private static UnaryOperator<ControlMessage> response(UnaryOperator<ControlMessage> change) {
        return change;
    }

    private static UnaryOperator<ControlMessage> chunk(Consumer<SnapshotChunk> change) {
        return message -> {
            change.accept(message.getSnapshotChunk());
            return message;
        };
    }

    private static Snapshot snapshot(long revision, int length, int mark) {
        byte[] content = new byte[length];
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < length; i++) {
            content[i] = (byte) random.nextInt();
        }
        content[length / 2] = (byte) mark;
        return Snapshot.of(new RevisionId(revision, Digests.sha256(content)), content);
    }
}
