import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases of this review share: the folder, the record, the hosts, and the exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Journal journal = new Journal();
    final Path repository = Path.of("").toAbsolutePath();
    final List<Edge> hosts = new ArrayList<>();
    Path files;
    Store store;

    abstract int play() throws IOException, InterruptedException;

    /** Runs the case and ends the process with its result; whatever happens, all hosts are ended. */
    final void run(Path folder) throws IOException {
        files = Files.createTempDirectory("review-3-");
        // Also when the run is broken off.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> List.copyOf(hosts).forEach(Edge::kill)));
        int result = NOT_RUN;
        try {
            store = new Store();
            result = play();
        } catch (IOException | InterruptedException | RuntimeException e) {
            journal.say("could not run: " + e);
        } finally {
            hosts.forEach(Edge::kill);
        }
        journal.say("trouble=" + (trouble ? 1 : 0) + " result=" + result);
        journal.write(folder.resolve("record.txt"));
        System.exit(result);
    }

    Edge startHost(int number, String zone, String region) throws IOException {
        Edge host = new Edge(repository, files, number, zone, region, store);
        hosts.add(host);
        host.start();
        return host;
    }

    Upstream startServer(String id, String service, String zone, int slots, Upstream.Answering answering)
            throws IOException {
        Upstream server = new Upstream(id, service, zone, slots, answering, journal);
        store.put("servers/" + id, server.entry("ready"));
        return server;
    }

    boolean awaitHosts() {
        boolean ready = hosts.stream().allMatch(host -> host.awaitReady(30_000));
        if (!ready) {
            journal.say("a host isn't ready");
        }
        return ready;
    }
}
