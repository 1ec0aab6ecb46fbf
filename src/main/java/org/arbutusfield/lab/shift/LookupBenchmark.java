package org.arbutusfield.lab.shift;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.arbutusfield.lookup.BlockTable;
import org.arbutusfield.lookup.EntryHost;
import org.arbutusfield.lookup.Ipv4Block;
import org.arbutusfield.lookup.LookupCache;
import org.arbutusfield.lookup.LookupView;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Site;

/**
 * Measures memory, build time, update time and look-up rate for several numbers of client blocks, on one thread.
 *
 * <p>Prints a Markdown table. Rates depend on the machine; bytes depend only on the seed.
 */
public final class LookupBenchmark {
    private static final long SEED = 42;
    private static final int SITES = 1_500;
    private static final int HOSTS_PER_DOMAIN = 3;
    private static final int QUERIES = 1 << 20;
    private static final int ROUNDS = 8;
    private static final int UPDATES = 200;
    private static final int[] BLOCK_COUNTS = {1_000, 10_000, 100_000, 1_600_000};
    private static final String SERVICE = "quotedesk";
    private static final List<String> REGIONS = List.of("gulf", "piedmont", "delta");

    private long checksum;

    private LookupBenchmark() {}

    /** Runs all sizes; takes no arguments. */
    public static void main(String[] arguments) {
        LookupBenchmark benchmark = new LookupBenchmark();
        benchmark.measure(BLOCK_COUNTS[1]);
        System.out.println("| blocks | table bytes | bytes/block | build ms | update of 1 block, us |"
                + " table look-ups/s | answers/s with JSON bytes, warm | first answer of a group, us |");
        System.out.println("|---:|---:|---:|---:|---:|---:|---:|---:|");
        for (int size : BLOCK_COUNTS) {
            System.out.println(benchmark.measure(size));
        }
        System.out.println();
        System.out.println("checksum " + benchmark.checksum);
    }

    private String measure(int size) {
        Random random = new Random(SEED);
        SortedMap<String, ClientBlock> blocks = blocks(random, size);
        long start = System.nanoTime();
        BlockTable table = BlockTable.of(blocks.values()).get();
        double buildMillis = (System.nanoTime() - start) / 1e6;
        double updateMicros = update(table, blocks);
        int[] queries = random.ints(QUERIES).toArray();
        double lookups = rate(() -> lookUpAll(table, queries));
        LookupView view = newView(table);
        LookupCache cache = LookupCache.of(view);
        start = System.nanoTime();
        answerAll(cache, queries);
        double coldMicros = (System.nanoTime() - start) / 1e3;
        double answers = rate(() -> answerAll(cache, queries));
        double warmMicros = QUERIES / answers * 1e6;
        double firstMicros = Math.max(0, coldMicros - warmMicros) / (REGIONS.size() * 2 * 512);
        return String.format(
                "| %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.1f |",
                size,
                table.memoryBytes(),
                (double) table.memoryBytes() / size,
                buildMillis,
                updateMicros,
                lookups,
                answers,
                firstMicros);
    }

    private double update(BlockTable table, SortedMap<String, ClientBlock> blocks) {
        List<String> changedPrefixes = new ArrayList<>(blocks.keySet()).subList(0, UPDATES);
        BlockTable current = table;
        long start = System.nanoTime();
        for (String prefix : changedPrefixes) {
            current = current.updated(blocks, List.of(prefix)).get();
        }
        checksum += current.siteCount();
        return (System.nanoTime() - start) / 1e3 / UPDATES;
    }

    private static double rate(Runnable round) {
        round.run();
        long start = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            round.run();
        }
        return (double) ROUNDS * QUERIES * 1e9 / (System.nanoTime() - start);
    }

    private void lookUpAll(BlockTable table, int[] queries) {
        long sum = 0;
        for (int query : queries) {
            sum += table.siteNumber(query);
        }
        checksum += sum;
    }

    private void answerAll(LookupCache cache, int[] queries) {
        long sum = 0;
        for (int query : queries) {
            sum += cache.answer(SERVICE, query, 0).get().length;
        }
        checksum += sum;
    }

    /** Creates prefixes of 16 to 28 bits, most of them 20 to 24 bits, some nested in others. */
    private static SortedMap<String, ClientBlock> blocks(Random random, int size) {
        SortedMap<String, ClientBlock> blocks = new TreeMap<>();
        while (blocks.size() < size) {
            int length = random.nextInt(10) == 0 ? 16 + random.nextInt(13) : 20 + random.nextInt(5);
            int base = random.nextInt() & -1 << (32 - length);
            String prefix = new Ipv4Block(base, length).notation();
            blocks.put(prefix, new ClientBlock(prefix, "site" + random.nextInt(SITES)));
        }
        return blocks;
    }

    private static LookupView newView(BlockTable table) {
        List<Entity> items = new ArrayList<>();
        List<EntryHost> hosts = new ArrayList<>();
        for (String region : REGIONS) {
            items.add(new Region(region, 8));
            for (String domain : List.of(region + "-a", region + "-b")) {
                items.add(new FailureDomain(domain, region));
                for (int i = 0; i < HOSTS_PER_DOMAIN; i++) {
                    hosts.add(new EntryHost(domain + i, region, domain, "10.0.0.1", 8080, EntryHost.State.SERVING, 1));
                }
            }
            REGIONS.stream()
                    .filter(to -> !to.equals(region))
                    .forEach(to -> items.add(new MoveRule(SERVICE, region, to, 1)));
        }
        for (int i = 0; i < SITES; i++) {
            String region = REGIONS.get(i % REGIONS.size());
            items.add(new Site("site" + i, region + (i % 2 == 0 ? "-a" : "-b")));
        }
        items.add(new Service(SERVICE, 1, 3, 10, List.of(), List.of()));
        Configuration configuration = Configuration.of(1, "bench", items);
        return LookupView.of(new LookupView.Version(1, 0), configuration, hosts, table, "gulf-a", List.of());
    }
}
