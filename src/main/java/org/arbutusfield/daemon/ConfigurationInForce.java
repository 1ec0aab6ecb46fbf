package org.arbutusfield.daemon;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.dispatch.DispatchComponents;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.BlockTable;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.note.ConfigurationSnapshot;

/** Validates received snapshots and passes each new configuration to the components that use it. */
final class ConfigurationInForce {
    private static final Logger LOG = LogManager.getLogger(ConfigurationInForce.class);

    private final AtomicReference<Configuration> inForce = new AtomicReference<>(Configuration.empty());
    private final AtomicReference<ConfigurationSnapshot> checked = new AtomicReference<>(ConfigurationSnapshot.empty());

    private ConfigurationInForce() {}

    /** Creates an instance with the empty configuration. */
    static ConfigurationInForce create() {
        return new ConfigurationInForce();
    }

    /** The configuration in force. */
    Configuration configuration() {
        return inForce.get();
    }

    /** Decodes a received snapshot and verifies every part against its digest. */
    Either<Failure, Snapshot> check(Snapshot snapshot) {
        return decode(snapshot).peek(checked::set).map(decoded -> snapshot);
    }

    /** Activates a snapshot. A snapshot that cannot be decoded is logged and ignored. */
    void install(Snapshot snapshot, DispatchComponents dispatch) {
        ConfigurationSnapshot last = checked.get();
        Either<Failure, ConfigurationSnapshot> decoded =
                last.pointer().equals(pointer(snapshot)) ? Either.right(last) : decode(snapshot);
        if (decoded.isLeft()) {
            LOG.error(
                    "event=revision_undecodable revision={}",
                    snapshot.revisionId().revision());
            return;
        }
        Configuration next = decoded.get().configuration();
        inForce.set(next);
        dispatch.admissionService().configure(next);
        dispatch.shiftLimiter().configure(next);
        BlockTable blocks = BlockTable.of(next.items(ClientBlock.class)).getOrElse(BlockTable.empty());
        dispatch.lookupHandler().configure(next, blocks);
    }

    private static Either<Failure, ConfigurationSnapshot> decode(Snapshot snapshot) {
        return ConfigurationSnapshot.decode(pointer(snapshot), snapshot.content());
    }

    private static org.arbutusfield.note.RootPointer pointer(Snapshot snapshot) {
        RevisionId revisionId = snapshot.revisionId();
        return new org.arbutusfield.note.RootPointer(revisionId.revision(), revisionId.digest());
    }
}
