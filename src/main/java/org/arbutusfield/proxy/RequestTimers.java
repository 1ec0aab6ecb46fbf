package org.arbutusfield.proxy;

import io.netty.channel.EventLoop;

/**
 * Timers for the requests on one connection. One timer serves request after request; further ones are created only for
 * requests that are in progress at the same time. Confined to the connection's event loop.
 */
final class RequestTimers {
    private final EventLoop loop;
    private final DeadlineTimer shared;
    private Runnable sharedExpired = () -> {};
    private boolean sharedInUse;

    private RequestTimers(EventLoop loop) {
        this.loop = loop;
        shared = DeadlineTimer.create(loop, () -> sharedExpired.run());
    }

    static RequestTimers create(EventLoop loop) {
        return new RequestTimers(loop);
    }

    /** Returns a timer for one request; {@code expired} runs on the loop. */
    DeadlineTimer acquire(Runnable expired) {
        if (sharedInUse) {
            return DeadlineTimer.create(loop, expired);
        }
        sharedInUse = true;
        sharedExpired = expired;
        return shared;
    }

    /** Takes a timer back when its request is done. */
    void release(DeadlineTimer timer) {
        if (timer == shared) {
            shared.clear();
            sharedInUse = false;
        } else {
            timer.close();
        }
    }

    /** Cancels the shared timer. */
    void close() {
        shared.close();
    }
}
