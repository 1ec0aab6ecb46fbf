package org.arbutusfield.wire;

import java.time.Duration;

/**
 * Limits of control connections.
 *
 * @param connectTimeout how long opening a connection may take
 * @param progressTimeout time without any received response, while requests are unanswered, after which the connection
 *     is replaced
 * @param idleTimeout how long a connection may stay unused before it is closed
 * @param initialBackoff wait after the first failed attempt to connect
 * @param maxBackoff longest wait between attempts to connect
 * @param maxQueued largest number of messages that wait for a connection, per peer
 * @param maxInFlight largest number of messages that a server handles at a time, per connection
 * @param maxConnections largest number of connections that a server accepts
 */
public record ControlLimits(
        Duration connectTimeout,
        Duration progressTimeout,
        Duration idleTimeout,
        Duration initialBackoff,
        Duration maxBackoff,
        int maxQueued,
        int maxInFlight,
        int maxConnections) {
    /** Largest content of a frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Number of bytes waiting in a connection's send buffer above which further messages are refused. */
    public static final int SEND_BUFFER_BYTES = 512 * 1024;

    private static final ControlLimits STANDARD = new ControlLimits(
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(60),
            Duration.ofMillis(100),
            Duration.ofSeconds(5),
            256,
            256,
            1024);

    /** The limits that a daemon uses. */
    public static ControlLimits defaults() {
        return STANDARD;
    }
}
