package org.arbutusfield.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.store.StoreItem;
import org.junit.jupiter.api.Test;

class ItemBatchTest {
    private static final int LARGE_BYTES = 1_000;

    /** Keys that were decoded, with the first byte of the value, in order. */
    private final List<String> decoded = new ArrayList<>();

    private final ItemBatch batch = ItemBatch.of(this::decode);

    private Either<Failure, StateItem> decode(String key, byte[] value) {
        decoded.add(key + value[0]);
        return key.startsWith("unreadable")
                ? Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key))
                : Either.right(new StateItem.Other());
    }

    private void write(String key, int version, int bytes) {
        byte[] value = new byte[bytes];
        value[0] = (byte) version;
        batch.written(new StoreItem(key, Body.of(value), version));
    }

    private List<String> items() {
        return batch.items().stream()
                .map(item -> item.key() + item.revision() + (item.removed() ? " removed" : ""))
                .toList();
    }

    /** Guards against the work, and the memory, of versions that the last one replaces. */
    @Test
    void ofManyVersionsOfALargeItemTheLastIsDecoded() {
        for (int version = 1; version <= 25; version++) {
            write("large", version, LARGE_BYTES + version % 3);
            write("small", version, 1);
        }
        assertThat(items()).containsExactlyInAnyOrder("large25", "small25");
        assertThat(decoded.stream().filter(key -> key.startsWith("large"))).containsExactly("large25");
    }

    /** Guards against many large items that are held until the last has arrived. */
    @Test
    void ofManyLargeItemsOneWaitsToBeDecoded() {
        for (int i = 0; i < 30; i++) {
            write("unreadable-" + i + "-", 1, LARGE_BYTES + i);
            assertThat(decoded).hasSize(i);
        }
        assertThat(batch.items())
                .hasSize(30)
                .allMatch(item -> item.configuration().isEmpty());
        assertThat(decoded).hasSize(30);
    }

    /** What was written and then removed is known to have left, so both are kept. */
    @Test
    void removalKeepsWhatWasWrittenBefore() {
        write("a", 1, 1);
        write("b", 2, 2);
        batch.removed("a", 3);
        batch.removed("b", 4);
        batch.removed("c", 5);
        assertThat(items()).containsExactlyInAnyOrder("a1 removed", "b2 removed", "c5 removed");
        assertThat(batch.items().stream().filter(item -> item.content().isPresent()))
                .hasSize(2);
    }

    @Test
    void writeAfterARemovalCounts() {
        write("a", 1, 1);
        batch.removed("a", 2);
        write("a", 3, 1);
        assertThat(items()).containsExactly("a3");
    }

    @Test
    void pageWithoutItemsEndsAListing() {
        write("a", 1, 1);
        assertThat(batch.endPage()).isTrue();
        assertThat(batch.lastKey()).isEqualTo("a");
        assertThat(batch.endPage()).isFalse();
    }
}
