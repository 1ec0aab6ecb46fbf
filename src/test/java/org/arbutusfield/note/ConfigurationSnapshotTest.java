package org.arbutusfield.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.Region;
import org.arbutusfield.store.Store;
import org.junit.jupiter.api.Test;

class ConfigurationSnapshotTest {

    @Test
    void decodesWhatItEncodes() {
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(NoteFixtures.magnoliaState());
        ConfigurationSnapshot again = ConfigurationSnapshot.decode(snapshot.pointer(), snapshot.encode())
                .get();
        assertThat(again.configuration()).isEqualTo(NoteFixtures.magnoliaState());
        assertThat(again.pointer()).isEqualTo(snapshot.pointer());
        assertThat(snapshot.digests()).allMatch(d -> snapshot.segment(d).get().length <= Store.MAX_VALUE_BYTES);
    }

    @Test
    void assemblesFromPreviousAndMissingSegments() {
        Configuration before = NoteFixtures.magnoliaState();
        Configuration after = NoteApplier.apply(
                        before,
                        NoteFixtures.noteAgainstRevision1("'changed':{'regions':[{'name':'gulf','hostCeiling':11}]}"))
                .get();
        ConfigurationSnapshot previous = ConfigurationSnapshot.of(before);
        ConfigurationSnapshot updated = ConfigurationSnapshot.of(after);
        List<String> missing = updated.missingDigests(previous.digests());
        assertThat(missing).hasSize(1);
        ConfigurationSnapshot assembled = ConfigurationSnapshot.assemble(
                        updated.pointer(),
                        updated.manifest(),
                        d -> missing.contains(d) ? updated.segment(d) : previous.segment(d))
                .get();
        assertThat(assembled.configuration()).isEqualTo(after);
        assertThat(ConfigurationSnapshot.assemble(updated.pointer(), updated.manifest(), previous::segment)
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    @Property(tries = 200, seed = "4301")
    void detectsDamage(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(
                Configuration.of(1, "n", List.of(new Region("a", 1), new ClientBlock("10.0.0.0/8", "s"))));
        byte[] encoded = snapshot.encode();
        int index = random.nextInt(encoded.length);
        encoded[index] ^= (byte) (1 << random.nextInt(8));
        assertThat(ConfigurationSnapshot.decode(snapshot.pointer(), encoded)
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
        String digest = new ArrayList<>(snapshot.digests()).get(0);
        byte[] wrong = {1};
        assertThat(ConfigurationSnapshot.assemble(
                                snapshot.pointer(),
                                snapshot.manifest(),
                                d -> d.equals(digest) ? Optional.of(wrong) : snapshot.segment(d))
                        .isLeft())
                .isTrue();
    }

    @Test
    void pointerIsIndependentOfItemOrder() {
        Configuration state = NoteFixtures.magnoliaState();
        List<Entity> items = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            items.addAll(state.table(kind).values());
        }
        Configuration shuffled = Configuration.of(1, state.noteId(), new HashSet<>(items));
        assertThat(ConfigurationSnapshot.of(shuffled).pointer())
                .isEqualTo(ConfigurationSnapshot.of(state).pointer());
    }

    @Test
    void diffListsAddedChangedAndWithdrawnItems() {
        Configuration after = NoteApplier.apply(
                        NoteFixtures.magnoliaState(),
                        NoteFixtures.noteAgainstRevision1("'added':{'regions':[{'name':'x','hostCeiling':1}]},"
                                + "'withdrawn':{'blocks':['10.0.0.0/16']},"
                                + "'changed':{'blocks':[{'prefix':'10.1.0.0/16','site':'delta-a'}]}"))
                .get();
        ConfigurationDiff diff = ConfigurationDiff.between(NoteFixtures.magnoliaState(), after);
        assertThat(diff.added()).containsExactly(new EntityKey(Kind.REGION, "x"));
        assertThat(diff.changed()).containsExactly(new EntityKey(Kind.CLIENT_BLOCK, "10.1.0.0/16"));
        assertThat(diff.withdrawn()).containsExactly(new EntityKey(Kind.CLIENT_BLOCK, "10.0.0.0/16"));
        assertThat(ConfigurationDiff.between(after, after).isEmpty()).isTrue();
    }
}
