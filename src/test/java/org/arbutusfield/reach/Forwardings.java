package org.arbutusfield.reach;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;

/** The forwarding of hosts that reach all upstreams, for tests of other things. */
public final class Forwardings {
    private Forwardings() {}

    /** Creates the forwarding of one host. */
    public static PeerForwarding unused(String self, Supplier<SteeringState> state, TimerService timer) {
        UpstreamReach reach = UpstreamReach.create(
                state,
                address -> CompletableFuture.completedFuture(UpstreamProbe.Result.ACCEPTED),
                timer,
                new SplittableRandom(1));
        return PeerForwarding.create(self, "g", 1, state, reach, timer, new SplittableRandom(1));
    }
}
