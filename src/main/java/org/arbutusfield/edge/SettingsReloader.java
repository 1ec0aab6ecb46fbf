package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;

/** Applies changed settings while the host runs. Invalid settings are logged, and the current ones stay in force. */
final class SettingsReloader {
    private static final Logger LOG = LogManager.getLogger(SettingsReloader.class);
    private static final FileTime UNKNOWN_TIME = FileTime.fromMillis(0);

    private final Path file;
    private final Function<Path, Either<List<Failure>, EdgeSettings>> reader;
    private final Consumer<EdgeSettings> subscriber;
    private EdgeSettings current;
    private FileTime lastModified;

    private SettingsReloader(
            Path file,
            Function<Path, Either<List<Failure>, EdgeSettings>> reader,
            EdgeSettings current,
            Consumer<EdgeSettings> subscriber) {
        this.file = file;
        this.reader = reader;
        this.current = current;
        this.subscriber = subscriber;
        lastModified = modifiedTime();
    }

    /**
     * Creates a reloader for a settings file.
     *
     * @param file the file
     * @param reader reads and checks it
     * @param current settings in force
     * @param subscriber gets settings that differ from those in force
     */
    static SettingsReloader of(
            Path file,
            Function<Path, Either<List<Failure>, EdgeSettings>> reader,
            EdgeSettings current,
            Consumer<EdgeSettings> subscriber) {
        return new SettingsReloader(file, reader, current, subscriber);
    }

    /** Reads the file if it was modified since it was last read. */
    synchronized void reloadIfChanged() {
        if (!modifiedTime().equals(lastModified)) {
            reload();
        }
    }

    /** Reads the file. */
    synchronized void reload() {
        lastModified = modifiedTime();
        Either<List<Failure>, EdgeSettings> read = reader.apply(file);
        if (read.isLeft()) {
            read.getLeft()
                    .forEach(f -> LOG.error(
                            "event=reload_failed code={} subject={} detail={}", f.code(), f.subject(), f.detail()));
            return;
        }
        if (!read.get().equals(current)) {
            current = read.get();
            subscriber.accept(current);
        }
    }

    private FileTime modifiedTime() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            LOG.warn("event=settings_file_unreadable file={} error={}", file, e.toString());
            return UNKNOWN_TIME;
        }
    }
}
