package org.arbutusfield.platform;

import io.micrometer.core.instrument.Counter;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeProcess;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.edge.EdgeSettingsReader;
import org.arbutusfield.edge.StoreClientContext;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.store.WatchableStore;

/**
 * The program that the platform starts on its machines. Exit codes: 0 stopped, 1 could not start, 2 invalid settings.
 */
public final class PlatformMain {
    private static final String SETTINGS_FILE = "ARBUTUSFIELD_NODE_FILE";
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /**
     * Maximum idle time of a reused connection to the store. The lease is renewed every 1.4 s, so a connection that was
     * idle for longer may have been lost without notice.
     */
    private static final Duration MAX_IDLE = Duration.ofSeconds(2);

    private PlatformMain() {}

    /** Runs the program. Arguments are ignored, because every instance has the same role. */
    public static void main(String[] args) throws InterruptedException {
        String file = System.getenv(SETTINGS_FILE);
        if (file == null) {
            EdgeProcess.logStartFailures(List.of(
                    Failure.of(ErrorCode.SETTINGS_UNREADABLE, SETTINGS_FILE, "environment variable is not set")));
            System.exit(EdgeProcess.EXIT_SETTINGS);
            return;
        }
        Path path = Path.of(file);
        System.exit(EdgeProcess.run(path, EdgeSettingsReader::read, PlatformMain::start));
    }

    /** Starts a host with the platform's protocol and store. */
    public static Either<Failure, EdgeHost> start(EdgeSettings settings) {
        return EdgeHost.start(settings, PlatformProtocol.create(), PlatformMain::store);
    }

    private static WatchableStore store(StoreClientContext context) {
        HttpClient client = HttpClient.reusingConnections(context.group(), CONNECT_TIMEOUT, MAX_IDLE);
        return PlatformStoreClient.create(
                client,
                context.settings().storeAddress(),
                CALL_TIMEOUT,
                (kind, status) -> Counter.builder("arbutusfield.store.calls")
                        .tag("kind", kind)
                        .tag("status", Integer.toString(status))
                        .register(context.registry())
                        .increment());
    }
}
