package org.arbutusfield.edge;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ThreadFactory;

/**
 * Threads of event loops that tell when they end. An error outside of a handler, such as a full heap, ends an event
 * loop without a word to those that wait for it.
 */
final class LoopThreads {
    private LoopThreads() {}

    /** Creates threads that call back as the last thing that they do; the call must not need memory. */
    static ThreadFactory notifying(Runnable onEnd) {
        ThreadFactory threads = new DefaultThreadFactory("loop");
        return loop -> threads.newThread(() -> {
            try {
                loop.run();
            } finally {
                onEnd.run();
            }
        });
    }
}
