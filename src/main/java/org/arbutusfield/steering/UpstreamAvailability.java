package org.arbutusfield.steering;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.BoundedMap;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.state.LiveUpstream;

/**
 * What upstreams say about themselves in their responses: which want no requests from this host, for some time or for
 * good. The limits that they name are in the quota package.
 *
 * <p>A notice counts for the start of the upstream that sent it, and replaces those of earlier starts. An upstream that
 * leaves stays excluded for good, whatever the store or other hosts say of it, until it has started again. A pause
 * lasts until its end; a shorter one that arrives meanwhile does not end it earlier.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
final class UpstreamAvailability {
    private static final Logger LOG = LogManager.getLogger(UpstreamAvailability.class);
    /** Bounds the memory; the oldest notices are discarded first. */
    private static final int MAX_UPSTREAMS = 20_000;

    private final Map<String, Notices> noticesByName = BoundedMap.of(MAX_UPSTREAMS);

    private UpstreamAvailability() {}

    /** Creates an instance without notices. */
    static UpstreamAvailability create() {
        return new UpstreamAvailability();
    }

    /** Records a notice of an upstream. */
    void record(LiveUpstream upstream, UpstreamNotice notice, long nowNanos) {
        Notices known = noticesByName.get(upstream.name());
        boolean startKnown = upstream.startMillis() != 0;
        if (known != null && startKnown && known.startMillis > upstream.startMillis()) {
            LOG.debug("event=upstream_notice_outdated id={} start={}", upstream.name(), upstream.startMillis());
            return;
        }
        Notices notices = noticesOf(upstream);
        if (notice instanceof UpstreamNotice.Pause pause) {
            recordPause(upstream, notices, pause.duration(), nowNanos);
        } else if (notice instanceof UpstreamNotice.Leaving && !notices.leaving) {
            notices.leaving = true;
            LOG.info("event=upstream_leaving id={} start={}", upstream.name(), upstream.startMillis());
        }
    }

    /** Returns true if the upstream accepts requests from this host now. */
    boolean accepts(LiveUpstream upstream, long nowNanos) {
        Notices notices = noticesByName.get(upstream.name());
        return notices == null
                || notices.startMillis != upstream.startMillis()
                || (!notices.leaving && !notices.pausing(nowNanos));
    }

    /** Returns true if the upstream has said that it leaves, in this start. */
    boolean isLeaving(LiveUpstream upstream) {
        Notices notices = noticesByName.get(upstream.name());
        return notices != null && notices.startMillis == upstream.startMillis() && notices.leaving;
    }

    /** Returns the time until the upstream's pause ends; empty if it is not pausing, or leaving. */
    Optional<Duration> pauseLeft(LiveUpstream upstream, long nowNanos) {
        Notices notices = noticesByName.get(upstream.name());
        boolean pausing = notices != null
                && notices.startMillis == upstream.startMillis()
                && !notices.leaving
                && notices.pausing(nowNanos);
        return pausing ? Optional.of(Duration.ofNanos(notices.pauseEndNanos - nowNanos)) : Optional.empty();
    }

    private static void recordPause(LiveUpstream upstream, Notices notices, Duration duration, long nowNanos) {
        long end = nowNanos + duration.toNanos();
        if (!notices.pausing(nowNanos) || end - notices.pauseEndNanos > 0) {
            notices.paused = true;
            notices.pauseEndNanos = end;
            LOG.info("event=upstream_pausing id={} for_ms={}", upstream.name(), duration.toMillis());
        }
    }

    private Notices noticesOf(LiveUpstream upstream) {
        Notices notices = noticesByName.get(upstream.name());
        if (notices != null && notices.startMillis == upstream.startMillis()) {
            return notices;
        }
        noticesByName.remove(upstream.name());
        Notices created = new Notices(upstream.startMillis());
        noticesByName.put(upstream.name(), created);
        return created;
    }

    /** Notices of one start of an upstream. */
    private static final class Notices {
        private final long startMillis;
        private boolean leaving;
        private boolean paused;
        private long pauseEndNanos;

        private Notices(long startMillis) {
            this.startMillis = startMillis;
        }

        private boolean pausing(long nowNanos) {
            return paused && pauseEndNanos - nowNanos > 0;
        }
    }
}
