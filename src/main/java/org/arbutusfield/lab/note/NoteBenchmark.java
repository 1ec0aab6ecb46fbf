package org.arbutusfield.lab.note;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.Site;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.ConfigurationSnapshot;
import org.arbutusfield.note.NoteReader;
import org.arbutusfield.note.ReleaseNote;
import org.arbutusfield.timer.SystemTimer;

/**
 * Measures release notes: the time to validate and apply a note with 10,000 entries, and the cost of a configuration
 * with 1,500 sites and up to 1.6 million client blocks. Prints a Markdown table; takes no arguments.
 */
public final class NoteBenchmark {
    private static final int SEED = 11;
    private static final int ENTRIES = 10_000;
    private static final int SITES = 1_500;
    private static final int BLOCKS_PER_NOTE = 100_000;
    private static final int SMALL_NOTES = 20;
    private static final int RUNS = 5;
    private static final int SITES_PER_NEIGHBOURHOOD = 16;
    private static final int NEIGHBOURHOOD_BITS = 12;

    private final SystemTimer timer = SystemTimer.start();
    private final Random random = new Random(SEED);

    private NoteBenchmark() {}

    /** Runs all measurements. */
    public static void main(String[] args) {
        NoteBenchmark benchmark = new NoteBenchmark();
        benchmark.measureEntries();
        System.out.println("| blocks | segments | MB | largest segment B | manifest B | build ms | load ms | heap MB "
                + "| writes per small note | bytes per small note |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (int blocks : new int[] {100_000, 400_000, 1_600_000}) {
            benchmark.measureState(blocks);
        }
        benchmark.timer.close();
    }

    private void measureEntries() {
        byte[] document = largeNote().getBytes(StandardCharsets.UTF_8);
        long[] millis = new long[RUNS];
        for (int run = 0; run < RUNS; run++) {
            ConfigurationRepository repository = ConfigurationRepository.of(newStore());
            long start = timer.nowNanos();
            ReleaseNote note = NoteReader.read(document).get();
            resultOf(repository.apply(note));
            millis[run] = TimeUnit.NANOSECONDS.toMillis(timer.nowNanos() - start);
        }
        System.out.println("entries=" + ENTRIES + " bytes=" + document.length
                + " read, check, apply and write ms per run=" + Arrays.toString(millis));
    }

    private void measureState(int blocks) {
        MemoryStore store = newStore();
        ConfigurationRepository repository = ConfigurationRepository.of(store);
        long start = timer.nowNanos();
        Configuration state =
                resultOf(repository.apply(new ReleaseNote("places", 0, locations(), List.of(), List.of())));
        int created = 0;
        while (created < blocks) {
            List<Entity> batch = blocks(created, Math.min(BLOCKS_PER_NOTE, blocks - created));
            created += batch.size();
            String id = "blocks-" + created;
            state = resultOf(repository.apply(new ReleaseNote(id, state.revision(), batch, List.of(), List.of())));
        }
        long buildNanos = timer.nowNanos() - start;
        ConfigurationSnapshot snapshot = repository.latestSnapshot().join().get();
        start = timer.nowNanos();
        ConfigurationRepository.of(store).latest().join().get();
        long loadNanos = timer.nowNanos() - start;
        String smallNotes = applySmallNotes(store, repository, state);
        long bytes = snapshot.digests().stream()
                .mapToLong(d -> segmentLength(snapshot, d))
                .sum();
        long largest = snapshot.digests().stream()
                .mapToLong(d -> segmentLength(snapshot, d))
                .max()
                .orElse(0);
        System.out.printf(
                "| %d | %d | %.1f | %d | %d | %d | %d | %.1f | %s |%n",
                blocks,
                snapshot.digests().size(),
                bytes / 1e6,
                largest,
                snapshot.manifest().length,
                TimeUnit.NANOSECONDS.toMillis(buildNanos),
                TimeUnit.NANOSECONDS.toMillis(loadNanos),
                heapBytes(snapshot) / 1e6,
                smallNotes);
    }

    /** Heap in bytes that a host needs for a configuration and its segments. */
    private long heapBytes(ConfigurationSnapshot snapshot) {
        byte[] encoded = snapshot.encode();
        long before = usedHeap();
        ConfigurationSnapshot copy =
                ConfigurationSnapshot.decode(snapshot.pointer(), encoded).get();
        long used = usedHeap() - before;
        return copy.configuration().revision() > 0 ? used : 0;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private String applySmallNotes(MemoryStore store, ConfigurationRepository repository, Configuration initialState) {
        long bytes = 0;
        long writes = store.count(StoreCall.Kind.WRITE);
        Configuration state = initialState;
        for (int i = 0; i < SMALL_NOTES; i++) {
            long before = storedBytes(store);
            ClientBlock block = (ClientBlock)
                    blocks(random.nextInt(initialState.blocks().size()), 1).get(0);
            ClientBlock moved = new ClientBlock(block.prefix(), "site-" + random.nextInt(SITES));
            state = resultOf(repository.apply(
                    new ReleaseNote("small-" + i, state.revision(), List.of(), List.of(moved), List.of())));
            bytes += storedBytes(store) - before + rootBytes(store);
        }
        long count = store.count(StoreCall.Kind.WRITE) - writes;
        return String.format("%.1f | %d", (double) count / SMALL_NOTES, bytes / SMALL_NOTES);
    }

    private static long storedBytes(MemoryStore store) {
        return store.snapshot().entrySet().stream()
                .filter(e -> !e.getKey().equals(ConfigurationRepository.ROOT_KEY))
                .mapToLong(e -> e.getValue().value().length)
                .sum();
    }

    private static long rootBytes(MemoryStore store) {
        return store.peek(ConfigurationRepository.ROOT_KEY).orElseThrow().value().length;
    }

    private static long segmentLength(ConfigurationSnapshot snapshot, String digest) {
        return snapshot.segment(digest).orElseThrow().length;
    }

    private MemoryStore newStore() {
        return MemoryStore.create(timer, Duration.ofSeconds(5));
    }

    private static <F> Configuration resultOf(CompletableFuture<Either<F, Configuration>> answer) {
        return answer.join().get();
    }

    private static List<Entity> locations() {
        List<Entity> items = new ArrayList<>();
        items.add(new Region("region", 100));
        items.add(new FailureDomain("domain", "region"));
        for (int i = 0; i < SITES; i++) {
            items.add(new Site("site-" + i, "domain"));
        }
        return items;
    }

    /**
     * Creates blocks of 256 addresses. Blocks with nearby numbers map to a small group of sites with consecutive
     * numbers.
     */
    private static List<Entity> blocks(int first, int count) {
        List<Entity> items = new ArrayList<>(count);
        for (int i = first; i < first + count; i++) {
            int address = (1 << 24) + i * 7 * 256;
            String prefix = (address >>> 24) + "." + (address >>> 16 & 255) + "." + (address >>> 8 & 255) + ".0/24";
            int firstSite = (i >>> NEIGHBOURHOOD_BITS) * SITES_PER_NEIGHBOURHOOD;
            int siteOffset = Integer.remainderUnsigned(i * 0x9E3779B1, SITES_PER_NEIGHBOURHOOD);
            items.add(new ClientBlock(prefix, "site-" + (firstSite + siteOffset) % SITES));
        }
        return items;
    }

    private static String largeNote() {
        StringBuilder out = new StringBuilder("{\"id\":\"large\",\"against\":0,\"added\":{\"regions\":[");
        out.append("{\"name\":\"r\",\"hostCeiling\":10}],\"failureDomains\":[{\"name\":\"d\",\"region\":\"r\"}],");
        out.append("\"services\":[{\"name\":\"s\",\"latencyWeight\":1,\"headroomWeight\":1,\"coldRampSeconds\":1,");
        out.append("\"classes\":[{\"name\":\"c\",\"methods\":[],\"pathPrefix\":\"\",\"repeatable\":true,");
        out.append("\"interactive\":true,\"deadlineMillis\":1000}],\"objectives\":[]}],\"upstreams\":[");
        for (int i = 0; i < ENTRIES - 3; i++) {
            out.append(i == 0 ? "" : ",");
            out.append("{\"name\":\"u")
                    .append(i)
                    .append("\",\"service\":\"s\",\"failureDomain\":\"d\",\"host\":\"10.0.");
            out.append(i >>> 8).append('.').append(i & 255);
            out.append("\",\"port\":80,\"slots\":3,\"connections\":650}");
        }
        return out.append("]}}").toString();
    }
}
