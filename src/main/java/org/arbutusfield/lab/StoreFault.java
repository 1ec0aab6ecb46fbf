package org.arbutusfield.lab;

import java.time.Duration;

/**
 * A fault that a store stand-in injects into one call.
 *
 * @param effect whether the call takes effect and whether it is answered
 * @param requestDelay time before the call takes effect
 * @param responseDelay time from the effect to the response
 */
public record StoreFault(Effect effect, Duration requestDelay, Duration responseDelay) {
    private static final StoreFault NONE = new StoreFault(Effect.ANSWERED, Duration.ZERO, Duration.ZERO);

    /** Whether a call takes effect and whether it is answered. */
    public enum Effect {
        /** It takes effect and is answered. */
        ANSWERED,
        /** It is refused at once and has no effect. */
        REFUSED,
        /** It has no effect and is never answered. */
        REQUEST_LOST,
        /** It takes effect and is never answered. */
        RESPONSE_LOST
    }

    /** No fault: the call is served at once. */
    public static StoreFault none() {
        return NONE;
    }

    /** The store is down: the call is refused. */
    public static StoreFault down() {
        return new StoreFault(Effect.REFUSED, Duration.ZERO, Duration.ZERO);
    }

    /** The request is lost on its way to the store; a watch with this fault never reports anything. */
    public static StoreFault requestLost() {
        return new StoreFault(Effect.REQUEST_LOST, Duration.ZERO, Duration.ZERO);
    }

    /** The call takes effect and its response is lost. */
    public static StoreFault responseLost() {
        return new StoreFault(Effect.RESPONSE_LOST, Duration.ZERO, Duration.ZERO);
    }

    /** The store is slow: half of the delay passes before the effect, half after it. */
    public static StoreFault slow(Duration delay) {
        return new StoreFault(Effect.ANSWERED, delay.dividedBy(2), delay.dividedBy(2));
    }

    /** The call takes effect late, possibly after its caller has timed out. */
    public static StoreFault delayedRequest(Duration requestDelay) {
        return new StoreFault(Effect.ANSWERED, requestDelay, Duration.ZERO);
    }
}
