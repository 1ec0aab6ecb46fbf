package org.arbutusfield.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the bodies of requests hold of the heap, compared with what is counted. */
class RequestBodyMemoryTest {
    private static final int MAX_KEPT_BYTES = 64 << 10;
    private static final long LIMIT_BYTES = 16L << 20;
    private static final int BODY_BYTES = 60_000;
    private static final int READ_BYTES = 64 << 10;
    private static final int SEEDS = 200;

    private final BufferBudget budget = BufferBudget.of(LIMIT_BYTES);
    private final long heapAtStart = usedHeap();

    private static long usedHeap() {
        return UnpooledByteBufAllocator.DEFAULT.metric().usedHeapMemory();
    }

    private long heldHeap() {
        return usedHeap() - heapAtStart;
    }

    private static ByteBuf part(int bytes) {
        return Unpooled.wrappedBuffer(new byte[bytes]);
    }

    /** Guards against a host whose heap is filled by uploads in small chunks: each chunk kept a buffer of 4 KB. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 128, 1000, 4095})
    void bodySentInSmallPartsHoldsLittleMoreThanItsBytes(int partBytes) {
        RequestBody body = RequestBody.of(MAX_KEPT_BYTES, budget);
        for (int received = 0; received < BODY_BYTES; received += partBytes) {
            body.add(part(partBytes));
            body.next().release();
        }
        assertThat(heldHeap()).isLessThan(BODY_BYTES + MAX_KEPT_BYTES / 4);
        assertThat(budget.held()).isGreaterThanOrEqualTo(heldHeap());
        body.release();
        assertThat(heldHeap()).isZero();
        assertThat(budget.held()).isZero();
    }

    /** Guards against a part that is counted by its bytes and keeps the much larger buffer into which it was read. */
    @Test
    void partsDoNotKeepTheBuffersIntoWhichTheyWereRead() {
        RequestBody body = RequestBody.of(MAX_KEPT_BYTES, budget);
        for (int i = 0; i < 10; i++) {
            ByteBuf read =
                    UnpooledByteBufAllocator.DEFAULT.heapBuffer(READ_BYTES).writeZero(READ_BYTES);
            body.add(read.retainedSlice(0, 5_000));
            read.release();
            body.next().release();
        }
        assertThat(budget.held()).isGreaterThanOrEqualTo(heldHeap());
        assertThat(heldHeap()).isLessThan(2 * 50_000 + MAX_KEPT_BYTES / 4);
        body.release();
        assertThat(heldHeap()).isZero();
    }

    /** Searches for an order of parts, sends, retries and drops in which more is held than is counted. */
    @Test
    void noOrderOfEventsHoldsMoreThanIsCounted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            search(new Random(seed), seed);
        }
    }

    private void search(Random random, int seed) {
        RequestBody body = RequestBody.of(MAX_KEPT_BYTES, budget);
        List<Byte> sent = new ArrayList<>();
        List<Byte> received = new ArrayList<>();
        int events = random.nextInt(300);
        for (int i = 0; i < events; i++) {
            int event = random.nextInt(10);
            if (event < 5) {
                byte[] bytes = new byte[1 + random.nextInt(random.nextBoolean() ? 10 : 6_000)];
                random.nextBytes(bytes);
                for (byte next : bytes) {
                    received.add(next);
                }
                body.add(Unpooled.wrappedBuffer(bytes));
            } else if (event < 9 && body.hasUnsent()) {
                send(body, sent);
            } else if (body.replayable() && random.nextInt(5) == 0) {
                body.rewind();
                sent.clear();
            }
            assertThat(budget.held()).as("seed %d", seed).isGreaterThanOrEqualTo(heldHeap());
        }
        while (body.hasUnsent()) {
            send(body, sent);
        }
        assertThat(sent).as("seed %d", seed).isEqualTo(received);
        body.release();
        assertThat(heldHeap()).as("seed %d", seed).isZero();
        assertThat(budget.held()).as("seed %d", seed).isZero();
    }

    private static void send(RequestBody body, List<Byte> sent) {
        ByteBuf next = body.next();
        next.forEachByte(sent::add);
        next.release();
    }
}
