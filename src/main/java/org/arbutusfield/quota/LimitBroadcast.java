package org.arbutusfield.quota;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.reach.HostBroadcast;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.LimitAnnouncement;

/**
 * Announces limits to all hosts directly. A host that isn't reached, and all in a fleet that is too large, hear of a
 * limit from their own responses.
 */
public final class LimitBroadcast implements LimitAnnouncer {
    private static final Logger LOG = LogManager.getLogger(LimitBroadcast.class);
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private final HostBroadcast broadcast;

    private LimitBroadcast(HostBroadcast broadcast) {
        this.broadcast = broadcast;
    }

    /** Creates an announcer that uses a host's broadcast. */
    public static LimitBroadcast of(HostBroadcast broadcast) {
        return new LimitBroadcast(broadcast);
    }

    @Override
    public void announce(UpstreamLimit limit) {
        ControlMessage message = ControlMessage.limitAnnouncement(new LimitAnnouncement(limit.encode()));
        broadcast.send(
                message,
                TIMEOUT,
                (host, response) -> response.peekLeft(failure -> LOG.debug(
                        "event=limit_not_announced id={} host={} code={}",
                        limit.upstream().upstream(),
                        host.name(),
                        failure.code())));
    }
}
