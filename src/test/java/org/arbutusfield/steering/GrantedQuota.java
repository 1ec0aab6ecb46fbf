package org.arbutusfield.steering;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.quota.QuotaGrant;
import org.arbutusfield.quota.UpstreamQuota;
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
    public CompletableFuture<Optional<QuotaGrant>> ask(String upstream, double perSecond) {
        return CompletableFuture.completedFuture(
                granted ? Optional.of(new QuotaGrant(timer.nowNanos() + VALIDITY.toNanos())) : Optional.empty());
    }
}
