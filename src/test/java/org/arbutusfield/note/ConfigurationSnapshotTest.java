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
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(Notes.magnolia());
        ConfigurationSnapshot again = ConfigurationSnapshot.decode(snapshot.pointer(), snapshot.encode())
                .get();
        assertThat(again.configuration()).isEqualTo(Notes.magnolia());
        assertThat(again.pointer()).isEqualTo(snapshot.pointer());
        assertThat(snapshot.digests()).allMatch(d -> snapshot.segment(d).get().length <= Store.MAX_VALUE_BYTES);
    }

    @Test
    void anOlderHostNeedsOnlyTheMissingSegments() {
        Configuration before = Notes.magnolia();
        Configuration after = NoteApplier.apply(
                        before, Notes.second("'changed':{'regions':[{'name':'gulf','hostCeiling':11}]}"))
                .get();
        ConfigurationSnapshot old = ConfigurationSnapshot.of(before);
        ConfigurationSnapshot fresh = ConfigurationSnapshot.of(after);
        List<String> missing = fresh.missing(old.digests());
        assertThat(missing).hasSize(1);
        ConfigurationSnapshot assembled = ConfigurationSnapshot.assemble(
                        fresh.pointer(), fresh.manifest(), d -> missing.contains(d) ? fresh.segment(d) : old.segment(d))
                .get();
        assertThat(assembled.configuration()).isEqualTo(after);
        assertThat(ConfigurationSnapshot.assemble(fresh.pointer(), fresh.manifest(), old::segment)
                        .getLeft()
                        .code())
                .isEqualTo(ErrorCode.STORE_CORRUPT);
    }

    @Property(tries = 200, seed = "4301")
    void damageIsAlwaysNoticed(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(
                Configuration.of(1, "n", List.of(new Region("a", 1), new ClientBlock("10.0.0.0/8", "s"))));
        byte[] encoded = snapshot.encode();
        int at = random.nextInt(encoded.length);
        encoded[at] ^= (byte) (1 << random.nextInt(8));
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
    void equalStatesHaveEqualPointersWhateverTheirHistory() {
        Configuration state = Notes.magnolia();
        List<Entity> items = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            items.addAll(state.table(kind).values());
        }
        Configuration shuffled = Configuration.of(1, state.noteId(), new HashSet<>(items));
        assertThat(ConfigurationSnapshot.of(shuffled).pointer())
                .isEqualTo(ConfigurationSnapshot.of(state).pointer());
    }

    @Test
    void diffNamesWhatDiffers() {
        Configuration after = NoteApplier.apply(
                        Notes.magnolia(),
                        Notes.second("'added':{'regions':[{'name':'x','hostCeiling':1}]},"
                                + "'withdrawn':{'blocks':['10.0.0.0/16']},"
                                + "'changed':{'blocks':[{'prefix':'10.1.0.0/16','site':'delta-a'}]}"))
                .get();
        ConfigurationDiff diff = ConfigurationDiff.between(Notes.magnolia(), after);
        assertThat(diff.added()).containsExactly(new EntityKey(Kind.REGION, "x"));
        assertThat(diff.changed()).containsExactly(new EntityKey(Kind.CLIENT_BLOCK, "10.1.0.0/16"));
        assertThat(diff.withdrawn()).containsExactly(new EntityKey(Kind.CLIENT_BLOCK, "10.0.0.0/16"));
        assertThat(ConfigurationDiff.between(after, after).isEmpty()).isTrue();
    }
}
