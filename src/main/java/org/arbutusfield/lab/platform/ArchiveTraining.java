package org.arbutusfield.lab.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeProcess;
import org.arbutusfield.edge.EdgeSettingsReader;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.platform.PlatformMain;

/**
 * Runs an edge host through what most hosts meet soon after their start, so that the JVM writes the classes that a host
 * loads into a class data sharing (CDS) archive. A process that starts from the archive needs a fraction of the
 * processor time.
 *
 * <p>The host is started as a process is. A second one makes them exchange messages. Upstreams answer, refuse requests,
 * refuse connections and leave; the routes change.
 */
public final class ArchiveTraining {
    private static final int ROUNDS = 30;
    private static final int CHANGE_ROUND = 10;
    private static final long ROUND_MILLIS = 60;
    private static final int SERVICES = 2;
    private static final int UPSTREAMS_PER_SERVICE = 3;
    /** Port on which nothing listens. */
    private static final InetSocketAddress UNREACHABLE = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final PlatformFixture platform = PlatformFixture.start();
    private final PlatformFixture.HostAddresses first = platform.freeAddresses();
    private final PlatformFixture.HostAddresses second = platform.freeAddresses();
    private int requestCount;

    private ArchiveTraining() {}

    /** Runs the training. It always exits with status 0, since hosts also start without an archive. */
    public static void main(String[] args) throws InterruptedException, IOException {
        new ArchiveTraining().run();
        System.exit(0);
    }

    private void run() throws InterruptedException, IOException {
        Path directory = Files.createTempDirectory("archive-training");
        fillStore();
        startProcess(platform.writeSettings(directory, "first", 1, first));
        Path secondSettings = platform.writeSettings(directory, "second", 2, second);
        EdgeHost other = EdgeSettingsReader.read(secondSettings)
                .map(settings -> PlatformMain.start(settings).get())
                .get();
        for (int round = 0; round < ROUNDS; round++) {
            sendRequests();
            if (round == CHANGE_ROUND) {
                changeState();
            }
            TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
        }
        other.close();
    }

    private void fillStore() {
        platform.putRoutes(1, SERVICES);
        for (int service = 0; service < SERVICES; service++) {
            for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
                platform.putUpstream(name(service, i), service, upstream(i == 0), "ready");
            }
            platform.putUpstream(name(service, UPSTREAMS_PER_SERVICE), service, UNREACHABLE, "ready");
        }
    }

    private InetSocketAddress upstream(boolean refusing) {
        HttpServer.Handler handler = request -> CompletableFuture.completedFuture(
                refusing
                        ? new SimpleHttpResponse(503, List.of(Header.of("x-not-executed", "1")), Body.empty())
                        : PlatformFixture.answer(request));
        return platform.startUpstream(handler);
    }

    private static String name(int service, int number) {
        return "u" + service + '-' + number;
    }

    private static void startProcess(Path settings) {
        Thread main = new Thread(
                () -> {
                    try {
                        EdgeProcess.run(settings, EdgeSettingsReader::read, PlatformMain::start);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "host");
        main.setDaemon(true);
        main.start();
    }

    private void sendRequests() {
        for (PlatformFixture.HostAddresses host : List.of(first, second)) {
            for (int service = 0; service <= SERVICES; service++) {
                requestCount++;
                String method = requestCount % 2 == 0 ? "GET" : "POST";
                platform.send(host, method, service, requestCount, requestCount).join();
            }
            platform.get(host.ready(), "/ready").join();
            platform.get(host.lookup(), "/resolve?region=g&zone=d").join();
        }
    }

    private void changeState() {
        platform.putRoutes(2, SERVICES);
        for (int service = 0; service < SERVICES; service++) {
            platform.putUpstream(name(service, 1), service, upstream(false), "draining");
            platform.content().remove("servers/" + name(service, UPSTREAMS_PER_SERVICE));
        }
    }
}
