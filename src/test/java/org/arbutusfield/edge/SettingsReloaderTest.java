package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Changes of the settings file while the host runs, with and without a signal. */
class SettingsReloaderTest {
    @TempDir
    private Path directory;

    private final List<EdgeSettings> applied = new ArrayList<>();
    private Path file;
    private SettingsReloader reloader;
    private int writes;

    @BeforeEach
    void start() throws IOException {
        file = directory.resolve("node.json");
        write(EdgeSettingsReaderTest.VALID);
        reloader = SettingsReloader.of(
                file, EdgeSettingsReader::read, EdgeSettingsReader.read(file).get(), applied::add);
    }

    private void write(String text) throws IOException {
        writes++;
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000L * writes));
    }

    @Test
    void changedFileIsAppliedWithoutASignal() throws IOException {
        reloader.reloadIfChanged();
        assertThat(applied).isEmpty();
        write(EdgeSettingsReaderTest.VALID.replace("\"5s\"", "\"3s\""));
        reloader.reloadIfChanged();
        reloader.reloadIfChanged();
        assertThat(applied).extracting(EdgeSettings::lookupMaxAge).containsExactly(Duration.ofSeconds(3));
    }

    @Test
    void signalWithoutAChangeAppliesNothing() {
        reloader.reload();
        assertThat(applied).isEmpty();
    }

    @Test
    void invalidOrMissingFileLeavesTheSettingsInForce() throws IOException {
        write("{");
        reloader.reloadIfChanged();
        Files.delete(file);
        reloader.reloadIfChanged();
        assertThat(applied).isEmpty();
        write(EdgeSettingsReaderTest.VALID.replace("\"6s\"", "\"4s\""));
        reloader.reloadIfChanged();
        assertThat(applied).extracting(EdgeSettings::stopLimit).containsExactly(Duration.ofSeconds(4));
    }
}
