package org.arbutusfield.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.misc.Addresses;

/** An edge host in a process of its own, with its settings file and its link to the store. */
final class SoakHost {
    /** Below the ephemeral port range, so that the ports are still free when the host restarts. */
    private static final int FIRST_PORT = 24_000;

    private static final int PORTS_PER_HOST = 5;
    private static final String SETTINGS_TEMPLATE = """
            {"name": "%s", "region": "%s", "failureDomain": "%s", "callerAddress": "%s", "readyAddress": "%s",
             "lookupAddress": "%s", "controlAddress": "%s", "metricsAddress": "%s", "storeAddress": "%s",
             "regions": {"east-a": "east", "west-a": "west"}, "maxDescriptors": 1000, "processorShare": 0.5,
             "cores": 1, "lookupMaxAge": "2s", "stopLimit": "4s", "routesInForceWithin": "2s",
             "drainsInForceWithin": "2s", "retryRatio": 0.2, "retryWindow": "10s", "retrySlack": 100}
            """;

    private final String name;
    private final FaultProxy storeLink;
    private final InetSocketAddress callerAddress;
    private final Path settingsFile;
    private final Path logFile;
    private Process process;
    private int starts;
    private long logBytesAtStart;

    private SoakHost(String name, FaultProxy storeLink, InetSocketAddress callerAddress, Path directory) {
        this.name = name;
        this.storeLink = storeLink;
        this.callerAddress = callerAddress;
        settingsFile = directory.resolve(name + ".json");
        logFile = directory.resolve(name + ".log");
    }

    /** Creates a host without starting it. */
    static SoakHost prepare(int number, FaultProxy storeLink, Path directory) throws IOException {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < PORTS_PER_HOST; i++) {
            addresses.add("127.0.0.1:" + (FIRST_PORT + number * PORTS_PER_HOST + i));
        }
        String region = number % 2 == 0 ? "east" : "west";
        String name = "host-" + number;
        SoakHost host =
                new SoakHost(name, storeLink, Addresses.parse(addresses.get(0)).orElseThrow(), directory);
        Files.writeString(
                host.settingsFile,
                SETTINGS_TEMPLATE.formatted(
                        name,
                        region,
                        region + "-a",
                        addresses.get(0),
                        addresses.get(1),
                        addresses.get(2),
                        addresses.get(3),
                        addresses.get(4),
                        Addresses.format(storeLink.address())));
        return host;
    }

    String name() {
        return name;
    }

    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    FaultProxy storeLink() {
        return storeLink;
    }

    /** Number of starts so far; distinguishes the successive processes of the host. */
    synchronized int starts() {
        return starts;
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.arbutusfield.platform.PlatformMain");
        builder.environment().put("ARBUTUSFIELD_NODE_FILE", settingsFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        logBytesAtStart = Files.exists(logFile) ? Files.size(logFile) : 0;
        process = builder.start();
        starts++;
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal to the process by its id, if it is running. */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }

    /** Waits for the process to exit; returns its exit status, or -1 if it did not exit in time. */
    int awaitExit(Duration limit) throws InterruptedException {
        Process exiting;
        synchronized (this) {
            exiting = process;
        }
        return exiting.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS) ? exiting.exitValue() : -1;
    }

    /** True if the current process has started far enough to handle signals. */
    synchronized boolean handlesSignals() throws IOException {
        byte[] lines = Files.readAllBytes(logFile);
        int from = (int) Math.min(logBytesAtStart, lines.length);
        return new String(lines, from, lines.length - from, StandardCharsets.UTF_8).contains("event=process_started");
    }

    /** Kills the process if it was started. */
    synchronized void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
