package org.arbutusfield.reach;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;

/**
 * Which services this host reaches, from its own requests and from probes. Probes run only while it is in doubt whether
 * the host is cut off, and until it isn't.
 *
 * <p>Runs on one event loop.
 */
public final class UpstreamReach {
    private static final Logger LOG = LogManager.getLogger(UpstreamReach.class);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
    private static final int PROBES = 4;

    private final Supplier<SteeringState> state;
    private final UpstreamProbe probe;
    private final TimerService timer;
    private final RandomGenerator random;
    private final Map<String, ServiceReach> byService = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private Runnable changeListener = () -> {};

    private UpstreamReach(
            Supplier<SteeringState> state, UpstreamProbe probe, TimerService timer, RandomGenerator random) {
        this.state = state;
        this.probe = probe;
        this.timer = timer;
        this.random = random;
    }

    /**
     * Creates an instance for a host that reaches all services.
     *
     * @param state supplies the current state
     * @param probe tries to connect to an upstream
     * @param timer clock and scheduler
     * @param random source of choices
     */
    public static UpstreamReach create(
            Supplier<SteeringState> state, UpstreamProbe probe, TimerService timer, RandomGenerator random) {
        return new UpstreamReach(state, probe, timer, random);
    }

    /** Sets what is called when the result of {@link #reachesAny} may have changed. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Records that an upstream responded on a new connection. */
    public void reached(String service) {
        ServiceReach reach = byService.get(service);
        if (reach == null) {
            return;
        }
        boolean wasCutOff = reach.cutOff();
        reach.reached(timer.nowNanos());
        if (wasCutOff && !reach.cutOff()) {
            LOG.warn("event=upstreams_reached_again service={}", service);
            changeListener.run();
        }
    }

    /** Records that a new connection to an upstream could not be opened, or was lost before a byte came. */
    public void failed(String service, String upstream) {
        ServiceReach reach = byService.computeIfAbsent(service, name -> ServiceReach.create());
        boolean cutOffNow =
                reach.failed(upstream, state.get().upstreams(service).size(), timer.nowNanos());
        if (cutOffNow) {
            LOG.warn("event=upstreams_unreachable service={} last={}", service, upstream);
            changeListener.run();
        }
        if (reach.doubtful()) {
            startProbing(service);
        }
    }

    /** True if no upstream of the service can be reached from this host. */
    public boolean cutOff(String service) {
        ServiceReach reach = byService.get(service);
        return reach != null && reach.cutOff();
    }

    /** True if a request that couldn't connect to one upstream had better go through another host. */
    public boolean doubtful(String service) {
        ServiceReach reach = byService.get(service);
        return reach != null && reach.doubtful();
    }

    /** Decides whether a request uses this host's own links. */
    public boolean usesOwnLinks(String service) {
        ServiceReach reach = byService.get(service);
        return reach == null || reach.ownShare() >= 1 || random.nextDouble() < reach.ownShare();
    }

    /** False if this host is cut off from each service that has upstreams. */
    public boolean reachesAny() {
        Set<String> services = state.get().upstreams().keySet();
        return services.isEmpty() || services.stream().anyMatch(service -> !cutOff(service));
    }

    private void startProbing(String service) {
        if (probing.add(service)) {
            probe(service);
        }
    }

    private void probe(String service) {
        List<LiveUpstream> upstreams = new ArrayList<>(state.get().upstreams(service));
        for (int i = 0; i < PROBES && !upstreams.isEmpty(); i++) {
            LiveUpstream upstream = upstreams.remove(random.nextInt(upstreams.size()));
            probe.connect(new InetSocketAddress(
                            upstream.upstream().host(), upstream.upstream().port()))
                    .whenComplete(Handled.by(result -> onProbe(service, upstream.name(), result)));
        }
        timer.after(PROBE_INTERVAL, () -> {
            if (doubtful(service)) {
                probe(service);
            } else {
                probing.remove(service);
            }
        });
    }

    private void onProbe(String service, String upstream, UpstreamProbe.Result result) {
        if (result == UpstreamProbe.Result.ACCEPTED) {
            reached(service);
        } else {
            failed(service, upstream);
        }
    }
}
