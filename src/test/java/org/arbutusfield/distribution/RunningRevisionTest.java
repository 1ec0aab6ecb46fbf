package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunningRevisionTest {
    @ParameterizedTest(name = "running {0}{1}, offered {2}{3} by {4}: {5}, then {6}{7}")
    @CsvSource({
        // running: revision, content; offered: revision, content, origin; outcome; finally running: revision, content
        "0, '', 1, a, PEER,  true,              1, a",
        "3, a,  4, b, PEER,  true,              4, b",
        "3, a,  9, b, STORE, true,              9, b",
        "3, a,  3, a, PEER,  false,             3, a",
        "3, a,  2, b, PEER,  REVISION_OLDER,    3, a",
        "3, a,  2, b, STORE, REVISION_OLDER,    3, a",
        "3, a,  3, b, PEER,  REVISION_CONFLICT, 3, a",
        "3, a,  3, b, STORE, true,              3, b",
    })
    void installAcceptsOnlyNewerRevision(
            long revision,
            String content,
            long offered,
            String offeredContent,
            Origin origin,
            String outcome,
            long finalRevision,
            String finalContent) {
        RunningRevision running = RunningRevision.create(SnapshotCheck.sha256());
        if (revision > 0) {
            running.install(snapshot(revision, content), Origin.STORE);
        }
        Either<Failure, Boolean> installed = running.install(snapshot(offered, offeredContent), origin);
        String actual = installed.isLeft() ? installed.getLeft().code().name() : String.valueOf(installed.get());
        assertThat(actual).isEqualTo(outcome);
        assertThat(running.current()).contains(snapshot(finalRevision, finalContent));
    }

    @Test
    void contentWithWrongDigestIsNotInstalled() {
        RunningRevision running = RunningRevision.create(SnapshotCheck.sha256());
        Snapshot forged = Snapshot.of(new RevisionId(1, Digests.sha256(new byte[] {1})), new byte[] {2});
        assertThat(running.install(forged, Origin.PEER).getLeft().code()).isEqualTo(ErrorCode.STORE_CORRUPT);
        assertThat(running.current()).isEmpty();
    }

    @Test
    void subscribersSeeCurrentRevisionAndThenEachNewerOneOnce() {
        RunningRevision running = RunningRevision.create(SnapshotCheck.sha256());
        running.install(snapshot(1, "a"), Origin.STORE);
        running.subscribe(snapshot -> {
            throw new IllegalStateException("a faulty subscriber");
        });
        List<Long> actual = new ArrayList<>();
        running.subscribe(snapshot -> actual.add(snapshot.revisionId().revision()));
        for (long revision : new long[] {3, 2, 3, 5, 4}) {
            running.install(snapshot(revision, "r" + revision), Origin.PEER);
        }
        assertThat(actual).containsExactly(1L, 3L, 5L);
    }

    private static Snapshot snapshot(long revision, String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        return Snapshot.of(new RevisionId(revision, Digests.sha256(bytes)), bytes);
    }
}
