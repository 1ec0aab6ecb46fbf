package org.arbutusfield.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.PlacementRequest;

/**
 * Bounds the uploads that this host has under way to each upstream, in requests and in bytes.
 *
 * <p>Problem: an upstream keeps in memory what it receives of all uploads, also of those that wait for a slot or arrive
 * slowly, and crashes when that is too much. Hosts don't know each other's uploads, and objects with the same home
 * concentrate at one upstream.
 *
 * <p>Idea: each host gets an equal part of the upstream's slots, at least one, and room for the largest upload in each
 * of them. This needs no messages between hosts.
 *
 * <p>Invariants: all hosts together have at most as many uploads under way to an upstream as it has slots or, if there
 * are more hosts than slots, as there are hosts. The bytes declared by one host's uploads exceed its part only if it is
 * a single upload.
 *
 * <p>Example: six hosts share an upstream of 9 slots. Each may have one upload under way to it; the next one goes to
 * the next upstream in the order of its object. With three hosts, each may have three, of 1,080 kB together.
 *
 * <p>Not thread-safe; must be used from one thread.
 */
final class UploadAllowance {
    /** Largest upload that the platform allows; assumed where no length is declared. */
    static final long LARGEST_UPLOAD_BYTES = 360_000;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);
    /** Spread over some time, so that refused callers don't return together. */
    private static final int RETRY_AFTER_SPREAD_MILLIS = 400;

    private final Map<String, UnderWay> underWay = new HashMap<>();

    private UploadAllowance() {}

    /** Creates an instance without uploads. */
    static UploadAllowance create() {
        return new UploadAllowance();
    }

    /** Returns the bytes that an upload may bring to its upstream. */
    static long bytesOf(PlacementRequest request) {
        return request.bodyBytes().orElse(LARGEST_UPLOAD_BYTES);
    }

    /** Returns the refusal of an upload for which no upstream has room; {@code Retry-After} depends on its id. */
    static Failure refusal(PlacementRequest request) {
        long spreadMillis = (WeightedRendezvous.hash(request.requestId()) >>> 1) % RETRY_AFTER_SPREAD_MILLIS;
        return Failure.of(ErrorCode.OVERLOADED, request.service().name(), "uploads")
                .withRetryAfter(MIN_RETRY_AFTER.plusMillis(spreadMillis));
    }

    /**
     * Returns true if another upload to the upstream stays within this host's part.
     *
     * @param upstream the upstream
     * @param hosts number of hosts that share it, at least 1
     * @param bytes length of the upload
     */
    boolean hasRoom(Upstream upstream, int hosts, long bytes) {
        UnderWay held = underWay.get(upstream.name());
        if (held == null) {
            return true;
        }
        int requests = Math.max(1, upstream.slots() / hosts);
        return held.requests < requests && held.bytes + bytes <= requests * LARGEST_UPLOAD_BYTES;
    }

    /** Records that an upload was placed at the upstream. */
    void started(String upstream, long bytes) {
        underWay.merge(upstream, new UnderWay(1, bytes), UnderWay::plus);
    }

    /** Records that an upload to the upstream ended, with the same bytes as at its start. */
    void ended(String upstream, long bytes) {
        underWay.computeIfPresent(
                upstream,
                (name, held) -> held.requests > 1 ? new UnderWay(held.requests - 1, held.bytes - bytes) : null);
    }

    /**
     * The uploads under way to one upstream.
     *
     * @param requests their number
     * @param bytes sum of their lengths
     */
    private record UnderWay(int requests, long bytes) {
        private UnderWay plus(UnderWay other) {
            return new UnderWay(requests + other.requests, bytes + other.bytes);
        }
    }
}
