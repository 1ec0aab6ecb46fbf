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

/** A settings file that changes under a running host, with and without a signal. */
class SettingsReloadTest {
    @TempDir
    private Path directory;

    private final List<EdgeSettings> taken = new ArrayList<>();
    private Path file;
    private SettingsReload reload;
    private int writes;

    @BeforeEach
    void start() throws IOException {
        file = directory.resolve("node.json");
        write(EdgeSettingsReaderTest.VALID);
        reload = SettingsReload.of(
                file, EdgeSettingsReader::read, EdgeSettingsReader.read(file).get(), taken::add);
    }

    private void write(String text) throws IOException {
        writes++;
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000L * writes));
    }

    @Test
    void aChangeWithoutASignalIsTakenOver() throws IOException {
        reload.readIfChanged();
        assertThat(taken).isEmpty();
        write(EdgeSettingsReaderTest.VALID.replace("\"5s\"", "\"3s\""));
        reload.readIfChanged();
        reload.readIfChanged();
        assertThat(taken).extracting(EdgeSettings::lookupMaxAge).containsExactly(Duration.ofSeconds(3));
    }

    @Test
    void aSignalWithoutAChangeDoesNothing() {
        reload.readAgain();
        assertThat(taken).isEmpty();
    }

    @Test
    void aFaultyOrMissingFileLeavesTheSettingsAsTheyAre() throws IOException {
        write("{");
        reload.readIfChanged();
        Files.delete(file);
        reload.readIfChanged();
        assertThat(taken).isEmpty();
        write(EdgeSettingsReaderTest.VALID.replace("\"6s\"", "\"4s\""));
        reload.readIfChanged();
        assertThat(taken).extracting(EdgeSettings::stopLimit).containsExactly(Duration.ofSeconds(4));
    }
}
