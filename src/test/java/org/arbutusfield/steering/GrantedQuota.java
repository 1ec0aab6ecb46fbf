package org.arbutusfield.steering;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.quota.QuotaGrant;
import org.arbutusfield.quota.UpstreamQuota;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.TimerService;

/** Quotas of a host that gets every permission, or none, for tests of other things. */
final class GrantedQuota implements UpstreamQuota {
    static final Duration VALIDITY = Duration.ofSeconds(1);

    private final TimerService timer;
    private final boolean granted;

    private GrantedQuota(TimerService timer, boolean granted) {
        this.timer = timer;
        this.granted = granted;
    }

    static UpstreamQuota always(TimerService timer) {
        return new GrantedQuota(timer, true);
    }

    static UpstreamQuota never(TimerService timer) {
        return new GrantedQuota(timer, false);
    }

    @Override
    public boolean mayAsk(String upstream) {
        return true;
    }

    @Override
    public OptionalDouble namedRate(UpstreamStart upstream) {
        return OptionalDouble.empty();
    }

    @Override
    public CompletableFuture<Optional<QuotaGrant>> ask(UpstreamStart upstream, OptionalDouble coldPerSecond) {
        long now = timer.nowNanos();
        return CompletableFuture.completedFuture(
                granted
                        ? Optional.of(new QuotaGrant(now, now + VALIDITY.toNanos(), Optional.empty()))
                        : Optional.empty());
    }

    @Override
    public void heard(UpstreamStart upstream, OptionalDouble perSecond, Optional<QuotaGrant> grant) {
        // Nothing depends on limits here.
    }
}
