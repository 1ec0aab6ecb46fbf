package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HomesCodec;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;

/**
 * Writes the homes that this host plans to the store. After a failure of all hosts, the new planner adopts them, so
 * that requests for an object go to the upstream that still has it warm.
 *
 * <p>Each write notifies every host that watches the store. Homes are therefore written at most once per
 * {@link #MIN_WRITE_INTERVAL}, and only when enough of them changed. Two planners may both write for a short time; this
 * does no harm, because stored homes are only hints. In a new era of the store all homes are written again.
 *
 * <p>Runs on one event loop.
 */
public final class HomeStoreWriter {
    private static final Logger LOG = LogManager.getLogger(HomeStoreWriter.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MIN_WRITE_INTERVAL = Duration.ofSeconds(8);
    private static final double MIN_CHANGED_FRACTION = 0.1;
    private static final long NO_LEASE = 0;

    private final HomePlanner planner;
    private final WatchableStore store;
    private final TimerService timer;
    private final Map<String, Map<Long, String>> lastWritten = new HashMap<>();
    private final Map<String, Long> nextWriteNanos = new HashMap<>();
    private final Supplier<SteeringState> state;
    private StoreRevision lastSeen = StoreRevision.NONE;

    private HomeStoreWriter(
            HomePlanner planner, Supplier<SteeringState> state, WatchableStore store, TimerService timer) {
        this.planner = planner;
        this.state = state;
        this.store = store;
        this.timer = timer;
    }

    /** Starts writing the planner's homes periodically. */
    public static HomeStoreWriter start(
            HomePlanner planner, Supplier<SteeringState> state, WatchableStore store, TimerService timer) {
        HomeStoreWriter writer = new HomeStoreWriter(planner, state, store, timer);
        timer.every(CHECK_INTERVAL, writer::writeIfChanged);
        return writer;
    }

    private void writeIfChanged() {
        long now = timer.nowNanos();
        StoreRevision current = state.get().revision();
        if (current.isOfLaterEra(lastSeen)) {
            lastWritten.clear();
            nextWriteNanos.clear();
        }
        lastSeen = current;
        planner.homes().forEach((service, homes) -> {
            Map<Long, String> last = lastWritten.getOrDefault(service, Map.of());
            long nextWrite = nextWriteNanos.getOrDefault(service, now);
            if (nextWrite - now <= 0 && enoughChanged(homes, last)) {
                lastWritten.put(service, homes);
                nextWriteNanos.put(service, now + MIN_WRITE_INTERVAL.toNanos());
                write(service, homes);
            }
        });
    }

    private void write(String service, Map<Long, String> homes) {
        store.put(HomesCodec.key(service), HomesCodec.encode(homes), NO_LEASE)
                .whenComplete(Handled.by(done -> done.peekLeft(failure -> {
                            LOG.warn("event=homes_not_written service={} code={}", service, failure.code());
                            lastWritten.remove(service);
                        })
                        .peek(revision -> LOG.info(
                                "event=homes_written service={} objects={} revision={}",
                                service,
                                homes.size(),
                                revision.number()))));
    }

    private static boolean enoughChanged(Map<Long, String> homes, Map<Long, String> last) {
        long changed = homes.entrySet().stream()
                .filter(home -> !home.getValue().equals(last.get(home.getKey())))
                .count();
        return changed > 0 && changed >= MIN_CHANGED_FRACTION * homes.size();
    }
}
