package org.arbutusfield.home;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.follow.HomesCodec;
import org.arbutusfield.store.WatchedStore;
import org.arbutusfield.timer.TimerService;

/**
 * Writes the homes that this host plans to the store, so that after a loss of all hosts objects are found where they
 * are warm. A write wakes every host that watches the store, so homes are written seldom and only when a part of them
 * changed. Two planners that both write for a moment do no harm: homes are advice.
 *
 * <p>Runs on one event loop.
 */
public final class HomeKeeper {
    private static final Logger LOG = LogManager.getLogger(HomeKeeper.class);
    private static final Duration CHECK = Duration.ofSeconds(2);
    private static final Duration LEAST_PAUSE = Duration.ofSeconds(8);
    private static final double CHANGED_PART = 0.1;
    private static final long NO_LEASE = 0;

    private final HomePlanner planner;
    private final WatchedStore store;
    private final TimerService timer;
    private final Map<String, Map<Long, String>> written = new HashMap<>();
    private final Map<String, Long> notBeforeNanos = new HashMap<>();

    private HomeKeeper(HomePlanner planner, WatchedStore store, TimerService timer) {
        this.planner = planner;
        this.store = store;
        this.timer = timer;
    }

    /** Starts to write what the planner plans. */
    public static HomeKeeper start(HomePlanner planner, WatchedStore store, TimerService timer) {
        HomeKeeper keeper = new HomeKeeper(planner, store, timer);
        timer.every(CHECK, keeper::check);
        return keeper;
    }

    private void check() {
        long now = timer.nowNanos();
        planner.homes().forEach((service, homes) -> {
            Map<Long, String> last = written.getOrDefault(service, Map.of());
            long notBefore = notBeforeNanos.getOrDefault(service, now);
            if (notBefore - now <= 0 && differ(homes, last)) {
                written.put(service, homes);
                notBeforeNanos.put(service, now + LEAST_PAUSE.toNanos());
                write(service, homes);
            }
        });
    }

    private void write(String service, Map<Long, String> homes) {
        store.put(HomesCodec.key(service), HomesCodec.encode(homes), NO_LEASE)
                .thenAccept(done -> done.peekLeft(failure -> {
                            LOG.warn("event=homes_not_written service={} code={}", service, failure.code());
                            written.remove(service);
                        })
                        .peek(revision -> LOG.info(
                                "event=homes_written service={} objects={} revision={}",
                                service,
                                homes.size(),
                                revision)));
    }

    private static boolean differ(Map<Long, String> homes, Map<Long, String> last) {
        long changed = homes.entrySet().stream()
                .filter(home -> !home.getValue().equals(last.get(home.getKey())))
                .count();
        return changed > 0 && changed >= CHANGED_PART * homes.size();
    }
}
